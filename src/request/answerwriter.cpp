#include "request/answerwriter.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusGone = 410;
static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
static constexpr int statusTimeout = 504;

static int statusOf(const Answer &answer)
{
    const Outcome &outcome = answer.outcome;
    if (outcome.succeeded())
        return statusOk;
    if (outcome.code == Fault::VersionGone)
        return statusGone;
    if (outcome.code == Fault::BelowCoverage)
        return statusBadGateway;
    // 503 carries Retry-After, so it is used only if the request was not run and may be resent.
    if (outcome.verdict == Verdict::NotRun)
        return statusUnavailable;
    return outcome.code == Fault::DeadlinePassed ? statusTimeout : statusBadGateway;
}

static Poco::JSON::Object::Ptr coverageJson(const Coverage &coverage)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("shards_answered", coverage.shardsAnswered);
    json->set("shards_total", coverage.shardsTotal);
    json->set("documents_answered", coverage.documentsAnswered);
    if (coverage.documentsTotal)
        json->set("documents_total", *coverage.documentsTotal);
    else
        json->set("documents_total", Poco::Dynamic::Var());
    json->set("fraction", coverage.fraction());
    Poco::JSON::Array::Ptr missing = new Poco::JSON::Array;
    for (const MissingShard &shard : coverage.missing) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("shard", shard.shard);
        entry->set("reason", shard.reason.message());
        missing->add(entry);
    }
    json->set("missing", missing);
    return json;
}

static Poco::JSON::Array::Ptr explainJson(const Answer &answer,
                                          const SearcherAddressLookup &addressOf)
{
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (const AttemptRecord &record : answer.attempts) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("shard", record.shard);
        entry->set("searcher", addressOf(record.searcher));
        entry->set("hedge", record.hedge);
        entry->set("sent_ms", record.sentAt.count());
        if (record.ended) {
            entry->set("ended_ms", record.endedAt.count());
            entry->set("service_ms", record.serviceTime.count());
            entry->set("verdict", std::string(nameOf(record.outcome.verdict)));
            entry->set("reason", record.outcome.code ? record.outcome.code.message() : "none");
            entry->set("said_by", std::string(nameOf(record.outcome.hop)));
        }
        list->add(entry);
    }
    return list;
}

static std::string toText(const Poco::JSON::Object &json)
{
    std::ostringstream text;
    json.stringify(text);
    return text.str();
}

static void addRetryAfter(HttpAnswer &answer, Millis retryAfter)
{
    static constexpr double msPerSecond = 1000;
    const auto seconds = static_cast<long>(std::ceil(retryAfter.count() / msPerSecond));
    answer.fields.push_back({ "Retry-After", std::to_string(std::max(1L, seconds)) });
}

static std::string fractionText(double fraction)
{
    std::ostringstream text;
    text << fraction;
    return text.str();
}

HttpAnswer writeAnswer(const Answer &answer, RouteKind kind, const std::string &requestId,
                       Millis retryAfter, bool explain, const SearcherAddressLookup &addressOf)
{
    HttpAnswer result;
    result.status = statusOf(answer);
    const std::string verdict(nameOf(answer.outcome.verdict));
    result.fields.push_back({ "X-Quetzal-Request-Id", requestId });
    result.fields.push_back({ "X-Quetzal-Verdict", verdict });
    const bool passThrough = kind == RouteKind::OneSearcher && answer.outcome.succeeded();
    if (passThrough) {
        result.status = static_cast<int>(answer.status);
        result.body = answer.body;
        return result;
    }
    Poco::JSON::Object json;
    json.set("request_id", requestId);
    json.set("verdict", verdict);
    if (answer.outcome.code) {
        json.set("error", answer.outcome.code.message());
        json.set("said_by", std::string(nameOf(answer.outcome.hop)));
    }
    if (kind == RouteKind::AllShards && answer.coverage.shardsTotal > 0) {
        const Coverage &coverage = answer.coverage;
        result.fields.push_back({ "X-Quetzal-Version", std::to_string(answer.version.value) });
        result.fields.push_back(
                { "X-Quetzal-Coverage", std::to_string(coverage.shardsAnswered) + "/"
                                                + std::to_string(coverage.shardsTotal) });
        result.fields.push_back(
                { "X-Quetzal-Coverage-Fraction", fractionText(coverage.fraction()) });
        json.set("version", answer.version.value);
        json.set("coverage", coverageJson(coverage));
        Poco::JSON::Array::Ptr hits = new Poco::JSON::Array;
        for (const Hit &hit : answer.hits) {
            Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
            entry->set("id", hit.id);
            entry->set("score", hit.score);
            hits->add(entry);
        }
        json.set("hits", hits);
    }
    if (explain)
        json.set("explain", explainJson(answer, addressOf));
    if (result.status == statusUnavailable)
        addRetryAfter(result, retryAfter);
    result.body = toText(json);
    return result;
}

HttpAnswer writeRefusal(int status, Fault fault, const std::string &text,
                        const std::string &requestId, Millis retryAfter)
{
    HttpAnswer result;
    result.status = status;
    Poco::JSON::Object json;
    json.set("error", make_error_code(fault).message());
    json.set("message", text);
    json.set("verdict", std::string(nameOf(Verdict::NotRun)));
    if (!requestId.empty()) {
        json.set("request_id", requestId);
        result.fields.push_back({ "X-Quetzal-Request-Id", requestId });
    }
    result.fields.push_back({ "X-Quetzal-Verdict", std::string(nameOf(Verdict::NotRun)) });
    if (status == statusUnavailable)
        addRetryAfter(result, retryAfter);
    result.body = toText(json);
    return result;
}

} // namespace quetzal
