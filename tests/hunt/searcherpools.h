// Searchers of several pools, which name their pool in their answers.
#pragma once

#include "hunt/functionserver.h"
#include "platform/headernames.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

// Runs two searchers of each pool. Each answers with one record.
class SearcherPools
{
public:
    explicit SearcherPools(const std::vector<std::string> &pools)
    {
        for (const std::string &pool : pools) {
            for (const char *suffix : { ".1", ".2" }) {
                const std::string id = pool + suffix;
                const auto &server = this->servers.emplace_back(std::make_unique<FunctionServer>(
                        [id](auto &request, auto &response) { answer(id, request, response); }));
                this->registered.emplace_back(
                        id, R"({"service":")" + pool + R"(","address":")" + server->address()
                                    + R"(","zone":"z","version":"v1","maxConcurrency":26,)"
                                      R"("state":"ready","warmupLeftMs":0,"sequence":1})");
            }
        }
    }

    // Returns the ids and what they register.
    const std::vector<std::pair<std::string, std::string>> &registrations() const
    {
        return this->registered;
    }

private:
    static void answer(const std::string &id, const Poco::Net::HTTPServerRequestImpl &request,
                       Poco::Net::HTTPServerResponse &response)
    {
        static constexpr std::size_t recordBytes = 16;
        const HeaderNames names = platform::headerNames();
        const std::string requestId = request.get(names.requestId, "");
        response.set(names.requestId, requestId);
        response.set(names.seal, requestId + "." + id);
        response.set(names.load, "0,0,26");
        std::string body = id;
        body.resize(recordBytes, ' ');
        response.setContentLength64(recordBytes);
        response.send() << body << std::flush;
    }

    std::vector<std::unique_ptr<FunctionServer>> servers;
    std::vector<std::pair<std::string, std::string>> registered;
};

} // namespace quetzal
