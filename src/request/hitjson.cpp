#include "request/hitjson.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace quetzal {

static Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

std::optional<SearchReply> parseSearchReply(const std::string &text)
{
    try {
        const auto json = parseObject(text);
        SearchReply reply;
        reply.answer.version = { json->getValue<Poco::UInt64>("version") };
        reply.answer.shard = json->getValue<Poco::UInt32>("shard");
        reply.answer.documents = json->getValue<Poco::UInt64>("documents");
        reply.partitions = json->getValue<Poco::UInt32>("partitions");
        const auto hits = json->getArray("hits");
        if (!hits)
            return std::nullopt;
        reply.answer.hits.reserve(hits->size());
        for (unsigned i = 0; i < hits->size(); ++i) {
            const auto hit = hits->getObject(i);
            reply.answer.hits.push_back(
                    { hit->getValue<std::string>("id"), hit->getValue<double>("score") });
        }
        return reply;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::optional<SearcherStatus> parseSearcherStatus(const std::string &text)
{
    try {
        const auto json = parseObject(text);
        SearcherStatus status;
        status.draining = json->optValue<bool>("draining", false);
        const auto holdings = json->getArray("holdings");
        for (unsigned i = 0; holdings && i < holdings->size(); ++i) {
            const auto entry = holdings->getObject(i);
            status.holdings.push_back({ { entry->getValue<Poco::UInt64>("version") },
                                        entry->getValue<Poco::UInt32>("partitions"),
                                        entry->getValue<Poco::UInt32>("shard"),
                                        entry->getValue<Poco::UInt64>("documents") });
        }
        return status;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace quetzal
