// Spans of requests, written as OTLP JSON.
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

// A name and value that explain a span.
struct SpanAttribute
{
    std::string name;
    std::string value;
};

// One hop's part in a request. Times are points on the process's clock.
struct Span
{
    TraceContext parent;
    std::uint64_t id = 0;
    std::string name;
    Millis start;
    Millis end;
    std::vector<SpanAttribute> attributes;
};

// Makes span numbers; one for each loop.
class SpanIdGenerator
{
public:
    explicit SpanIdGenerator(std::uint64_t seed)
        : random(seed)
    {}

    // Returns a number that is not zero.
    std::uint64_t next() { return this->random() | 1; }

private:
    std::mt19937_64 random;
};

// Returns the context of a traceparent header, or nothing if it is malformed.
std::optional<TraceContext> parseTraceparent(std::string_view header);

// Returns the traceparent header of a context.
std::string formatTraceparent(const TraceContext &context);

// Where spans go.
struct TraceSettings
{
    // File that spans are appended to, one OTLP JSON document a line; empty for none.
    std::string file;
    // Address of an HTTP collector that takes OTLP JSON at /v1/traces; empty for none.
    std::string collector;
    // Fraction of the requests without a traceparent that are traced.
    double sample = 0;
};

// Writes spans on a thread of its own. A full queue drops spans and counts them; the loops never
// wait.
class TraceWriter
{
public:
    TraceWriter(const TraceSettings &settings, std::string hostName);
    ~TraceWriter();
    TraceWriter(const TraceWriter &) = delete;
    TraceWriter &operator=(const TraceWriter &) = delete;

    // Takes a span from any thread.
    void write(Span span);

    // True if spans go anywhere.
    bool enabled() const { return this->active; }
    double sampleRate() const { return this->settings.sample; }
    std::uint64_t dropped() const { return this->droppedCount; }

    // Returns one span as an OTLP JSON document.
    static std::string format(const Span &span, std::string_view hostName, double epochOffsetMs);

private:
    void run();
    void drain();
    void postToCollector(const std::string &document) const;

    TraceSettings settings;
    std::string hostName;
    bool active;
    // Added to the process's clock to get the time of day, in milliseconds.
    double epochOffsetMs;
    boost::lockfree::queue<Span *> queue;
    std::atomic<std::uint64_t> droppedCount = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace quetzal
