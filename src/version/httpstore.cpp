#include "version/httpstore.h"

#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>

namespace quetzal {

static StoreStatus statusOf(int httpStatus)
{
    switch (httpStatus) {
    case 200:
        return StoreStatus::Ok;
    case 404:
        return StoreStatus::NotFound;
    case 412:
        return StoreStatus::Conflict;
    default:
        return StoreStatus::Unavailable;
    }
}

StoreReply HttpStore::call(const std::string &method, const std::string &target,
                           const std::string &body, std::optional<std::uint64_t> ifVersion) const
{
    using namespace Poco::Net;
    StoreReply reply;
    try {
        HTTPClientSession session{ SocketAddress(this->address) };
        session.setTimeout(Poco::Timespan(
                static_cast<Poco::Timespan::TimeDiff>(this->timeout.count() * 1000)));
        HTTPRequest request(method, target, HTTPMessage::HTTP_1_1);
        if (ifVersion)
            request.set("If-Match", std::to_string(*ifVersion));
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, reply.value);
        Poco::UInt64 version = 0;
        Poco::NumberParser::tryParseUnsigned64(response.get("X-Store-Version", ""), version);
        reply.version = version;
        reply.status = statusOf(response.getStatus());
    } catch (const Poco::Exception &) {
        reply.status = StoreStatus::Unavailable;
    }
    return reply;
}

StoreReply HttpStore::read(const std::string &key)
{
    return this->call("GET", "/kv/" + key, {}, std::nullopt);
}

StoreReply HttpStore::write(const std::string &key, const std::string &value,
                            std::optional<std::uint64_t> ifVersion)
{
    return this->call("PUT", "/kv/" + key, value, ifVersion);
}

StoreReply HttpStore::remove(const std::string &key, std::optional<std::uint64_t> ifVersion)
{
    return this->call("DELETE", "/kv/" + key, {}, ifVersion);
}

std::vector<std::string> HttpStore::list(const std::string &prefix)
{
    const StoreReply reply = this->call("GET", "/list?prefix=" + prefix, {}, std::nullopt);
    std::vector<std::string> keys;
    if (!reply.ok())
        return keys;
    std::istringstream lines(reply.value);
    for (std::string line; std::getline(lines, line);)
        keys.push_back(line);
    return keys;
}

} // namespace quetzal
