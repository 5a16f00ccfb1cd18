// Distributed tracing: W3C trace context and export of spans as OTLP JSON.
#pragma once

#include "connection/messages.h"
#include "quetzal/millis.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/lockfree/queue.hpp>

namespace quetzal {

// A named attribute of a span.
struct SpanAttribute
{
    std::string name;
    std::string value;
};

// The work of one hop on a request. Times are points on the process's monotonic clock.
struct Span
{
    TraceContext parent;
    std::uint64_t id = 0;
    std::string name;
    Millis start;
    Millis end;
    std::vector<SpanAttribute> attributes;
};

// Generates span ids; each loop has its own generator.
class SpanIdGenerator
{
public:
    explicit SpanIdGenerator(std::uint64_t seed)
        : random(seed)
    {}

    // Returns a random id that is not zero.
    std::uint64_t next() { return this->random() | 1; }

private:
    std::mt19937_64 random;
};

// Parses a traceparent header. Returns nothing if it is malformed.
std::optional<TraceContext> parseTraceparent(std::string_view header);

// Formats a context as a traceparent header.
std::string formatTraceparent(const TraceContext &context);

// Destinations of spans, and the sampling rate.
struct TraceSettings
{
    // File that spans are appended to, one OTLP JSON document per line; empty for none.
    std::string file;
    // Address of an HTTP collector that accepts OTLP JSON at /v1/traces; empty for none.
    std::string collector;
    // Fraction of the requests without a traceparent header that are traced.
    double sample = 0;
};

// Writes spans on a separate thread, so that event loops never block. Spans are dropped and counted
// when the queue is full.
class TraceWriter
{
public:
    TraceWriter(const TraceSettings &settings, std::string hostName);
    ~TraceWriter();
    TraceWriter(const TraceWriter &) = delete;
    TraceWriter &operator=(const TraceWriter &) = delete;

    // Queues a span. May be called from any thread.
    void write(Span span);

    // Returns true if a file or a collector is configured.
    bool enabled() const { return this->active; }
    double sampleRate() const { return this->settings.sample; }
    std::uint64_t dropped() const { return this->droppedCount; }

    // Formats one span as an OTLP JSON document. The offset converts times of the span to Unix
    // time.
    static std::string format(const Span &span, std::string_view hostName, double epochOffsetMs);

private:
    void run();
    void drain();
    void postToCollector(const std::string &document) const;

    TraceSettings settings;
    std::string hostName;
    bool active;
    // Unix time minus the time of the monotonic clock, in milliseconds.
    double epochOffsetMs;
    boost::lockfree::queue<Span *> queue;
    std::atomic<std::uint64_t> droppedCount = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace quetzal
