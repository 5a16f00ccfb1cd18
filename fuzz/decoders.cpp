#include "fuzz/decoders.h"

#include "connection/channel.h"
#include "connection/frame.h"
#include "connection/httpcodec.h"
#include "connection/httpreader.h"
#include "connection/relaymessages.h"
#include "platform/documents.h"
#include "platform/samples.h"
#include "process/gatewaysettings.h"
#include "process/logtrace.h"
#include "process/membership.h"
#include "version/codec.h"
#include "version/searchersyaml.h"
#include "version/servingview.h"
#include "version/tablesyaml.h"

#include <random>

namespace quetzal::fuzz {

static const char *const routesSample = R"(routes:
  - { name: all, match: { path: /all/ }, shard_pools: [a, b], deadline_ms: 300, max_attempts: 2 }
  - { name: some, match: { path: /s/ }, split: [ { pool: a, weight: 3 } ], deadline_ms: 300 }
)";
static const char *const poolsSample = "zones: [z]\npools:\n"
                                       "  - { name: a, registered: true, connection_cap: 26 }\n"
                                       "  - { name: b, registered: true, connection_cap: 9 }\n";
static const char *const searchersSample
        = "revision: 3\nsearchers: [ { id: s, pool: a, address: \"127.0.0.1:9\", zone: z } ]\n";
static const char *const settingsSample
        = "host: { name: a, zone: z, capacity: 0.5 }\n"
          "listen: { callers: \"127.0.0.1:1\", ready: \"127.0.0.1:2\", view: \"127.0.0.1:3\", "
          "heartbeat: \"127.0.0.1:4\" }\nstore: { address: \"127.0.0.1:5\" }\n";
static const char *const requestSample
        = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
          "GET /b HTTP/1.1\r\nHost: h\r\nX-Quetzal-Deadline-Ms: 40\r\n\r\n";
static const char *const replySample
        = "HTTP/1.1 200 OK\r\nX-Quetzal-Request-Id: i\r\nX-Quetzal-Seal: s\r\n"
          "X-Quetzal-Load: 1,0,2\r\nContent-Length: 16\r\n\r\n0123456789abcdef";
static const char *const logSample
        = " 0.1 edge-1 2026-03-17T06:44:45.152 INFO  QZ2301 request-ended id=a missing=\"b c\"";

static constexpr HttpLimits readerLimits = { 4096, 4096 };

static void readRequests(const std::string &bytes)
{
    const HttpCodec codec{ HeaderNames() };
    HttpReader<Poco::Net::HTTPRequest> reader(readerLimits);
    reader.feed(bytes);
    while (const auto request = reader.next())
        static_cast<void>(codec.parseCallerRequest(*request));
}

static void readReplies(const std::string &bytes)
{
    const HttpCodec codec{ HeaderNames() };
    OutboundRequest request;
    request.requestId = std::string("i");
    HttpReader<Poco::Net::HTTPResponse> reader(readerLimits);
    reader.feed(bytes);
    while (auto response = reader.next())
        static_cast<void>(codec.decodeReply(std::move(*response), request));
    if (auto response = reader.finish())
        static_cast<void>(codec.decodeReply(std::move(*response), request));
}

static void readFrame(const std::string &bytes)
{
    static const KeyRing keys({ { 1, "a-secret-of-the-fleet" } });
    static_cast<void>(keys.verify(bytes));
    static_cast<void>(decodeDatagram(bytes));
}

void decodeBytes(Decoder decoder, const std::string &bytes)
{
    std::string error;
    std::vector<std::string> problems;
    switch (decoder) {
    case Decoder::CallerRequest:
        return readRequests(bytes);
    case Decoder::SearcherReply:
        return readReplies(bytes);
    case Decoder::StorePage:
        return static_cast<void>(platform::readPage(bytes));
    case Decoder::Tables:
        return static_cast<void>(platform::readTables(bytes, error, problems));
    case Decoder::Registration:
        return static_cast<void>(
                platform::readRegistration({ "servers/i", bytes, 1, false }, error));
    case Decoder::TableFiles:
        static_cast<void>(parseTables("r", routesSample, "p", bytes));
        return static_cast<void>(parseTables("r", bytes, "p", poolsSample));
    case Decoder::SearchersFile:
        return static_cast<void>(parseSearchers("s", bytes));
    case Decoder::Settings:
        return static_cast<void>(parseGatewaySettings("g", bytes));
    case Decoder::Frame:
        return readFrame(bytes);
    case Decoder::Heartbeat:
        return static_cast<void>(decode<quetzal::Heartbeat>(bytes));
    case Decoder::RelayQuery:
        return static_cast<void>(decode<quetzal::RelayQuery>(bytes));
    case Decoder::RelayAnswer:
        return static_cast<void>(decode<quetzal::RelayAnswer>(bytes));
    case Decoder::ViewDelta:
        return static_cast<void>(decode<quetzal::ViewDelta>(bytes));
    case Decoder::LogLine:
        return static_cast<void>(parseLogLine(bytes, "file"));
    }
}

static quetzal::RelayQuery relayQuery()
{
    quetzal::RelayQuery query;
    query.route = std::string("all");
    query.pools = std::vector<std::string>(3, std::string("pool"));
    query.allowedSearchers.resize(3, { 1, 2 });
    return query;
}

static quetzal::ViewDelta viewDelta()
{
    quetzal::ViewDelta delta;
    delta.registrations.resize(2);
    delta.tables = quetzal::RoutingTables();
    delta.tables->routes.resize(2);
    return delta;
}

std::vector<std::string> sampleInputs(Decoder decoder)
{
    quetzal::Heartbeat heartbeat;
    heartbeat.updates.resize(3);
    heartbeat.introductions.resize(2);
    quetzal::RelayAnswer answer;
    answer.seals.resize(3);
    ChannelDatagram datagram;
    datagram.payload = std::string("work");
    switch (decoder) {
    case Decoder::CallerRequest:
        return { requestSample };
    case Decoder::SearcherReply:
        return { replySample };
    case Decoder::StorePage:
        return { platform::samplePage, platform::sampleEvents };
    case Decoder::Tables:
        return { platform::sampleTables };
    case Decoder::Registration:
        return { platform::sampleRegistration };
    case Decoder::TableFiles:
        return { routesSample, poolsSample };
    case Decoder::SearchersFile:
        return { searchersSample };
    case Decoder::Settings:
        return { settingsSample };
    case Decoder::Frame:
        return { encodeDatagram(datagram) };
    case Decoder::Heartbeat:
        return { encode(heartbeat) };
    case Decoder::RelayQuery:
        return { encode(relayQuery()) };
    case Decoder::RelayAnswer:
        return { encode(answer) };
    case Decoder::ViewDelta:
        return { encode(viewDelta()) };
    case Decoder::LogLine:
        return { logSample };
    }
    return {};
}

// Returns the bytes with a few random deletions, duplications and replacements.
static std::string mutated(std::string bytes, std::mt19937_64 &random)
{
    // One more than the highest number of edits.
    static constexpr std::uint64_t editCountEnd = 6;
    // Bytes that an edit deletes or duplicates at most.
    static constexpr std::uint64_t maxEditLength = 8;
    for (std::uint64_t edits = random() % editCountEnd; edits > 0 && !bytes.empty(); --edits) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes.erase(at, random() % maxEditLength);
            break;
        case 1:
            bytes.insert(at, bytes.substr(random() % bytes.size(), maxEditLength));
            break;
        default:
            bytes[at] = static_cast<char>(random());
        }
    }
    return bytes;
}

std::uint64_t runRounds(std::uint64_t seed, std::uint64_t rounds)
{
    std::mt19937_64 random(seed);
    std::uint64_t inputs = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        for (std::size_t index = 0; index < decoderNames.size(); ++index) {
            const auto decoder = static_cast<Decoder>(index);
            for (const std::string &sample : sampleInputs(decoder)) {
                decodeBytes(decoder, mutated(sample, random));
                ++inputs;
            }
        }
    }
    return inputs;
}

} // namespace quetzal::fuzz
