// A caller with a kept connection.
#pragma once

#include "hunt/versionhistory.h"
#include "platform/headernames.h"

#include <sstream>
#include <string>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace quetzal {

class Caller
{
public:
    explicit Caller(const std::string &address)
        : session(Poco::Net::SocketAddress(address))
    {
        this->session.setKeepAlive(true);
        this->session.setTimeout(Poco::Timespan(3, 0));
    }

    struct Answer
    {
        // Zero if there was no answer.
        int status = 0;
        // Pools whose searchers ran the request.
        Outcome pools;
    };

    // Sends a request and waits for the answer.
    Answer call(const std::string &path, const std::string &id)
    {
        const HeaderNames names = platform::headerNames();
        Answer answer;
        try {
            Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
            request.setHost("h");
            request.set(names.requestId, id);
            request.set(names.deadline, "2000");
            this->session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(this->session.receiveResponse(response), body);
            answer.status = response.getStatus();
            // A seal is the request's id, the pool and the searcher's number, separated by dots.
            std::istringstream seals(response.get(names.partSeals, response.get(names.seal, "")));
            std::string seal;
            while (std::getline(seals, seal, ',')) {
                const std::size_t from = seal.find('.') + 1;
                answer.pools.insert(seal.substr(from, seal.find('.', from) - from));
            }
        } catch (const Poco::Exception &) {
            this->session.reset();
        }
        return answer;
    }

private:
    Poco::Net::HTTPClientSession session;
};

} // namespace quetzal
