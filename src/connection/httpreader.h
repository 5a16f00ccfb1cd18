// Incremental parser of HTTP/1.1 messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace quetzal {

// Largest accepted sizes of a message in bytes.
struct HttpLimits
{
    std::size_t maxHeadBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
};

// A message with its body, from which the chunked encoding is removed.
template <typename Head>
struct HttpMessage
{
    Head head;
    std::string body;
};

using HttpRequest = HttpMessage<Poco::Net::HTTPRequest>;
using HttpResponse = HttpMessage<Poco::Net::HTTPResponse>;

// Buffers bytes and returns complete messages.
//
// A head that two hops could interpret differently is rejected, as it would allow request
// smuggling: both Content-Length and Transfer-Encoding, more than one of either, a folded line, a
// space before a colon, or a control character. A response without a length ends when its
// connection is closed. Whatever a peer may repeat without end is limited: head, body, lines of
// chunks, trailer fields and interim responses.
template <typename Head>
class HttpReader
{
public:
    explicit HttpReader(const HttpLimits &limits)
        : limits(limits)
    {}

    // Adds received bytes to the buffer.
    void feed(std::string_view bytes)
    {
        // Moves what is left only if that is less than what was used.
        if (this->used > this->buffer.size() / 2) {
            this->buffer.erase(0, this->used);
            this->used = 0;
        }
        this->buffer.append(bytes);
    }

    // Removes the next complete message from the buffer and returns it, or nothing if there is
    // none. After an error, errorStatus returns the HTTP status to answer with, and no more
    // messages are returned.
    std::optional<HttpMessage<Head>> next();

    // Handles the orderly end of the stream. Returns the response whose body it ends, if any.
    std::optional<HttpMessage<Head>> finish();

    // Treats the next message as one without a body, as for the response to a HEAD request.
    void expectNoBody() { this->noBody = true; }

    void setLimits(const HttpLimits &newLimits) { this->limits = newLimits; }

    // Returns the HTTP status of the error; zero if there was none.
    int errorStatus() const { return this->error; }

    // Returns the number of bytes that are held for messages which are not complete.
    std::size_t bufferedBytes() const
    {
        return this->rest().size() + (this->partial ? this->partial->body.size() : 0);
    }

    // True if part of a message has been parsed or bytes are buffered.
    bool hasPartial() const { return this->partial || !this->rest().empty(); }

private:
    // How the end of a body is determined.
    enum class Framing { Length, Chunked, UntilEnd };

    // Each returns true once its part of the message is complete, and false if more bytes are
    // needed or an error was set.
    bool parseHead();
    bool parseFields(std::string_view text);
    bool chooseFraming();
    bool readLength();
    bool readBody();
    bool readChunks();
    // Counts bytes that frame a body. Sets an error and returns false if there are too many.
    bool countFraming(std::size_t bytes);
    // Sets the error and returns false.
    bool fail(int status);
    // The buffered bytes that are not parsed yet.
    std::string_view rest() const { return std::string_view(this->buffer).substr(this->used); }
    // Drops the first bytes of the rest.
    void consume(std::size_t bytes);
    // Returns the message and resets the parser for the next one.
    HttpMessage<Head> take();

    HttpLimits limits;
    // The first bytes, as many as used says, are parsed.
    std::string buffer;
    std::size_t used = 0;
    std::optional<HttpMessage<Head>> partial;
    Framing framing = Framing::Length;
    std::size_t bodyLength = 0;
    bool lastChunkSeen = false;
    // Bytes of the current message's chunk lines and trailer fields.
    std::size_t framingBytes = 0;
    // Bytes of the interim responses since the last final one.
    std::size_t interimBytes = 0;
    bool noBody = false;
    int error = 0;
};

extern template class HttpReader<Poco::Net::HTTPRequest>;
extern template class HttpReader<Poco::Net::HTTPResponse>;

} // namespace quetzal
