// Cuts HTTP/1.1 messages out of a byte stream.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace quetzal {

// Sizes beyond which a message is refused, in bytes.
struct HttpLimits
{
    std::size_t maxHeadBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
};

// A message with its body; chunks are joined.
template <typename Head>
struct HttpMessage
{
    Head head;
    std::string body;
};

using HttpRequest = HttpMessage<Poco::Net::HTTPRequest>;
using HttpResponse = HttpMessage<Poco::Net::HTTPResponse>;

// Collects bytes and returns whole messages.
//
// A head is refused unless every hop must read it alike: a length and chunks together, two
// lengths, a folded line, a space before a colon or a control character end the stream with an
// error. A response without a length ends with its connection.
template <typename Head>
class HttpReader
{
public:
    explicit HttpReader(const HttpLimits &limits)
        : limits(limits)
    {}

    void feed(std::string_view bytes) { this->buffer.append(bytes); }

    // Returns the next whole message and takes it from the buffer, or nothing. After an error
    // errorStatus tells the HTTP status to answer with, and nothing more is returned.
    std::optional<HttpMessage<Head>> next();

    // Tells that the peer ended its stream in order. Returns the response that ends with it.
    std::optional<HttpMessage<Head>> finish();

    // Sets that the next message has no body, whatever its head says.
    void expectNoBody() { this->noBody = true; }

    void setLimits(const HttpLimits &next) { this->limits = next; }

    int errorStatus() const { return this->error; }
    bool hasPartial() const { return this->partial || !this->buffer.empty(); }

private:
    enum class Framing { Length, Chunked, UntilEnd };

    bool parseHead();
    bool parseFields(std::string_view text);
    bool chooseFraming();
    bool readLength();
    bool readBody();
    bool readChunks();
    bool fail(int status);
    HttpMessage<Head> take();

    HttpLimits limits;
    std::string buffer;
    std::optional<HttpMessage<Head>> partial;
    Framing framing = Framing::Length;
    std::size_t bodyLength = 0;
    bool lastChunkSeen = false;
    bool noBody = false;
    int error = 0;
};

extern template class HttpReader<Poco::Net::HTTPRequest>;
extern template class HttpReader<Poco::Net::HTTPResponse>;

} // namespace quetzal
