#include "process/tracing.h"

#include "quetzal/steadyclock.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace quetzal {

static constexpr std::size_t queueCapacity = 4096;
static constexpr std::chrono::milliseconds drainPeriod(20);
// SPAN_KIND_SERVER of OTLP.
static constexpr int spanKindServer = 2;

static std::string hex(std::uint64_t value)
{
    std::array<char, 17> text = {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

static std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    // version "-" trace (32 digits) "-" parent (16 digits) "-" flags (2 digits)
    static constexpr std::size_t length = 55;
    if (header.size() != length || header.substr(0, 3) != "00-" || header[35] != '-'
        || header[52] != '-')
        return std::nullopt;
    const auto high = parseHex(header.substr(3, 16));
    const auto low = parseHex(header.substr(19, 16));
    const auto span = parseHex(header.substr(36, 16));
    const auto flags = parseHex(header.substr(53, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return TraceContext{ *high, *low, *span, (*flags & 1) != 0 };
}

std::string formatTraceparent(const TraceContext &context)
{
    return "00-" + hex(context.traceHigh) + hex(context.traceLow) + "-" + hex(context.span)
           + (context.sampled ? "-01" : "-00");
}

TraceWriter::TraceWriter(const TraceSettings &settings, std::string hostName)
    : settings(settings)
    , hostName(std::move(hostName))
    , active(!settings.file.empty() || !settings.collector.empty())
    , queue(queueCapacity)
{
    const std::chrono::duration<double, std::milli> sinceEpoch
            = std::chrono::system_clock::now().time_since_epoch();
    this->epochOffsetMs = sinceEpoch.count() - SteadyClock::now().count();
    if (this->active)
        this->thread = std::thread([this] { this->run(); });
}

TraceWriter::~TraceWriter()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
    Span *span = nullptr;
    while (this->queue.pop(span))
        delete span;
}

void TraceWriter::write(Span span)
{
    if (!this->active)
        return;
    auto owned = std::make_unique<Span>(std::move(span));
    if (this->queue.bounded_push(owned.get()))
        static_cast<void>(owned.release());
    else
        this->droppedCount += 1;
}

void TraceWriter::run()
{
    while (!this->stopping) {
        this->drain();
        std::this_thread::sleep_for(drainPeriod);
    }
    this->drain();
}

void TraceWriter::drain()
{
    Span *taken = nullptr;
    std::ofstream file;
    while (this->queue.pop(taken)) {
        const std::unique_ptr<Span> span(taken);
        const std::string document = format(*span, this->hostName, this->epochOffsetMs);
        if (!this->settings.file.empty()) {
            if (!file.is_open())
                file.open(this->settings.file, std::ios::app);
            file << document << "\n";
        }
        if (!this->settings.collector.empty())
            this->postToCollector(document);
    }
}

void TraceWriter::postToCollector(const std::string &document) const
{
    using namespace Poco::Net;
    try {
        HTTPClientSession session{ SocketAddress(this->settings.collector) };
        static constexpr int timeoutSeconds = 2;
        session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
        HTTPRequest request(HTTPRequest::HTTP_POST, "/v1/traces", HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(document.size()));
        session.sendRequest(request) << document;
        HTTPResponse response;
        session.receiveResponse(response);
    } catch (const Poco::Exception &) {
        // Spans are lost while the collector is unreachable.
        return;
    }
}

static Poco::JSON::Object::Ptr makeAttribute(const std::string &name, const std::string &value)
{
    Poco::JSON::Object::Ptr inner = new Poco::JSON::Object;
    inner->set("stringValue", value);
    Poco::JSON::Object::Ptr outer = new Poco::JSON::Object;
    outer->set("key", name);
    outer->set("value", inner);
    return outer;
}

static std::string unixNanos(double epochMs)
{
    return std::to_string(static_cast<std::uint64_t>(epochMs * 1e6));
}

std::string TraceWriter::format(const Span &span, std::string_view hostName, double epochOffsetMs)
{
    using Poco::JSON::Array;
    using Poco::JSON::Object;
    Object::Ptr json = new Object;
    json->set("traceId", hex(span.parent.traceHigh) + hex(span.parent.traceLow));
    json->set("spanId", hex(span.id));
    if (span.parent.span != 0)
        json->set("parentSpanId", hex(span.parent.span));
    json->set("name", span.name);
    json->set("kind", spanKindServer);
    json->set("startTimeUnixNano", unixNanos(span.start.count() + epochOffsetMs));
    json->set("endTimeUnixNano", unixNanos(span.end.count() + epochOffsetMs));
    Array::Ptr attributes = new Array;
    for (const SpanAttribute &entry : span.attributes)
        attributes->add(makeAttribute(entry.name, entry.value));
    json->set("attributes", attributes);
    Array::Ptr spans = new Array;
    spans->add(json);
    Object::Ptr scope = new Object;
    scope->set("spans", spans);
    Array::Ptr scopes = new Array;
    scopes->add(scope);
    Array::Ptr resourceAttributes = new Array;
    resourceAttributes->add(makeAttribute("service.name", "quetzald"));
    resourceAttributes->add(makeAttribute("host.name", std::string(hostName)));
    Object::Ptr resource = new Object;
    resource->set("attributes", resourceAttributes);
    Object::Ptr resourceSpan = new Object;
    resourceSpan->set("resource", resource);
    resourceSpan->set("scopeSpans", scopes);
    Array::Ptr resourceSpans = new Array;
    resourceSpans->add(resourceSpan);
    Object root;
    root.set("resourceSpans", resourceSpans);
    std::ostringstream text;
    root.stringify(text);
    return text.str();
}

} // namespace quetzal
