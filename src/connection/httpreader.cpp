#include "connection/httpreader.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include <Poco/String.h>

namespace quetzal {

static constexpr int badRequest = 400;
static constexpr int bodyTooLarge = 413;
static constexpr int headTooLarge = 431;
static constexpr int versionNotSupported = 505;
static constexpr std::string_view lineEnd = "\r\n";
static constexpr std::string_view headEnd = "\r\n\r\n";
static constexpr const char *contentLengthField = "Content-Length";
static constexpr const char *transferEncodingField = "Transfer-Encoding";
static constexpr std::size_t maxChunkLineBytes = 256;
// Number of bytes that a byte of a chunked body may take for the lines of its chunks.
static constexpr std::size_t framingBytesPerBodyByte = 8;

// True for a "tchar" of RFC 9110.
static bool isTokenChar(char c)
{
    const bool alphanumeric
            = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return alphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

static bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

// True if the text has no control characters except tabs.
static bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

// Returns the text without leading and trailing spaces and tabs.
static std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

// Parses "METHOD TARGET HTTP/1.x". Returns zero or the error status.
static int readStartLine(std::string_view line, Poco::Net::HTTPRequest &head)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return badRequest;
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    const bool validTarget = std::all_of(target.begin(), target.end(), [](char c) {
        return static_cast<unsigned char>(c) > 0x20 && c != 0x7f;
    });
    if (!isToken(method) || target.empty() || !validTarget || !version.starts_with("HTTP/"))
        return badRequest;
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return versionNotSupported;
    head.setMethod(std::string(method));
    head.setURI(std::string(target));
    head.setVersion(std::string(version));
    return 0;
}

// Parses "HTTP/1.x STATUS REASON". Returns zero or the error status.
static int readStartLine(std::string_view line, Poco::Net::HTTPResponse &head)
{
    static constexpr std::size_t statusAt = 9;
    static constexpr std::size_t reasonAt = 13;
    const bool wellFormed = line.size() >= statusAt + 3
                            && (line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 "));
    if (!wellFormed || (line.size() > statusAt + 3 && line[statusAt + 3] != ' '))
        return badRequest;
    int status = 0;
    const char *begin = line.data() + statusAt;
    const auto parsed = std::from_chars(begin, begin + 3, status);
    if (parsed.ptr != begin + 3 || status < 100 || status > 599)
        return badRequest;
    head.setVersion(std::string(line.substr(0, statusAt - 1)));
    head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    head.setReason(line.size() > reasonAt ? std::string(line.substr(reasonAt)) : "");
    return 0;
}

// True for responses whose status implies that they have no body.
template <typename Head>
static bool isWithoutBody(const Head &head)
{
    if constexpr (std::is_same_v<Head, Poco::Net::HTTPResponse>) {
        const int status = head.getStatus();
        return status < 200 || status == 204 || status == 304;
    } else {
        return false;
    }
}

template <typename Head>
bool HttpReader<Head>::fail(int status)
{
    this->error = status;
    return false;
}

template <typename Head>
void HttpReader<Head>::consume(std::size_t bytes)
{
    this->used += bytes;
    if (this->used < this->buffer.size())
        return;
    // Also releases the memory: it could be large, and there may be thousands of connections.
    this->buffer = std::string();
    this->used = 0;
}

template <typename Head>
HttpMessage<Head> HttpReader<Head>::take()
{
    HttpMessage<Head> message = std::move(*this->partial);
    this->partial.reset();
    return message;
}

template <typename Head>
std::optional<HttpMessage<Head>> HttpReader<Head>::next()
{
    if (this->error != 0)
        return std::nullopt;
    if (!this->partial && !this->parseHead())
        return std::nullopt;
    if (!this->readBody())
        return std::nullopt;
    return this->take();
}

template <typename Head>
std::optional<HttpMessage<Head>> HttpReader<Head>::finish()
{
    if (this->error != 0 || !this->partial || this->framing != Framing::UntilEnd)
        return std::nullopt;
    this->partial->body = this->rest();
    this->consume(this->rest().size());
    return this->take();
}

template <typename Head>
bool HttpReader<Head>::parseHead()
{
    const std::size_t end = this->rest().find(headEnd);
    if (end == std::string::npos)
        return this->rest().size() > this->limits.maxHeadBytes ? this->fail(headTooLarge) : false;
    if (end > this->limits.maxHeadBytes)
        return this->fail(headTooLarge);
    this->partial.emplace();
    const std::string_view head = this->rest().substr(0, end);
    const std::size_t lineSize = std::min(head.find(lineEnd), head.size());
    const int startLineError = readStartLine(head.substr(0, lineSize), this->partial->head);
    bool good = startLineError == 0 ? true : this->fail(startLineError);
    good = good && this->parseFields(head.substr(std::min(head.size(), lineSize + 2)));
    this->consume(end + headEnd.size());
    good = good && this->chooseFraming();
    if constexpr (std::is_same_v<Head, Poco::Net::HTTPResponse>) {
        const bool isInterim = good && this->partial->head.getStatus() < 200;
        this->interimBytes = isInterim ? this->interimBytes + end + headEnd.size() : 0;
        if (this->interimBytes > this->limits.maxHeadBytes)
            good = this->fail(headTooLarge);
    }
    if (!good)
        this->partial.reset();
    return good;
}

template <typename Head>
bool HttpReader<Head>::parseFields(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(lineEnd), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(text.size(), end + lineEnd.size()));
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
            return this->fail(badRequest);
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!isFieldValue(value))
            return this->fail(badRequest);
        this->partial->head.add(std::string(line.substr(0, colon)), std::string(value));
    }
    return true;
}

template <typename Head>
bool HttpReader<Head>::chooseFraming()
{
    const Head &head = this->partial->head;
    this->framing = Framing::Length;
    this->bodyLength = 0;
    this->lastChunkSeen = false;
    this->framingBytes = 0;
    const bool bodyless = this->noBody || isWithoutBody(head);
    this->noBody = false;
    if (bodyless)
        return true;
    if (head.has(transferEncodingField)) {
        const auto encodingCount = std::count_if(head.begin(), head.end(), [](const auto &field) {
            return Poco::icompare(field.first, transferEncodingField) == 0;
        });
        // Two hops could disagree on the body's end: see RFC 9112, section 6.3.
        if (head.has(contentLengthField) || encodingCount != 1 || head.getVersion() != "HTTP/1.1"
            || Poco::icompare(head.get(transferEncodingField), std::string("chunked")) != 0)
            return this->fail(badRequest);
        this->framing = Framing::Chunked;
        return true;
    }
    if (head.has(contentLengthField))
        return this->readLength();
    if constexpr (std::is_same_v<Head, Poco::Net::HTTPResponse>)
        this->framing = Framing::UntilEnd;
    return true;
}

template <typename Head>
bool HttpReader<Head>::readLength()
{
    const Head &head = this->partial->head;
    const auto count = std::count_if(head.begin(), head.end(), [](const auto &field) {
        return Poco::icompare(field.first, contentLengthField) == 0;
    });
    const std::string &text = head.get(contentLengthField);
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    // With more than one length two hops could disagree on the body's end.
    if (count > 1 || text.empty() || parsed.ec != std::errc()
        || parsed.ptr != text.data() + text.size())
        return this->fail(badRequest);
    if (length > this->limits.maxBodyBytes)
        return this->fail(bodyTooLarge);
    this->bodyLength = static_cast<std::size_t>(length);
    return true;
}

template <typename Head>
bool HttpReader<Head>::readBody()
{
    switch (this->framing) {
    case Framing::Chunked:
        return this->readChunks();
    case Framing::UntilEnd:
        return this->rest().size() > this->limits.maxBodyBytes ? this->fail(bodyTooLarge) : false;
    case Framing::Length:
        break;
    }
    if (this->rest().size() < this->bodyLength)
        return false;
    this->partial->body = this->rest().substr(0, this->bodyLength);
    this->consume(this->bodyLength);
    return true;
}

template <typename Head>
bool HttpReader<Head>::countFraming(std::size_t bytes)
{
    this->framingBytes += bytes;
    const std::size_t limit
            = this->limits.maxHeadBytes + this->partial->body.size() * framingBytesPerBodyByte;
    return this->framingBytes <= limit ? true : this->fail(badRequest);
}

template <typename Head>
bool HttpReader<Head>::readChunks()
{
    while (true) {
        const std::string_view data = this->rest();
        const std::size_t end = data.find(lineEnd);
        if (end == std::string::npos)
            return data.size() > maxChunkLineBytes ? this->fail(badRequest) : false;
        if (this->lastChunkSeen) {
            // Trailer fields are dropped; an empty line ends the message.
            this->consume(end + lineEnd.size());
            if (end == 0)
                return true;
            if (!this->countFraming(end + lineEnd.size()))
                return false;
            continue;
        }
        std::uint64_t size = 0;
        const char *text = data.data();
        const auto parsed = std::from_chars(text, text + end, size, 16);
        const bool ended = parsed.ptr == text + end || *parsed.ptr == ';';
        if (end > maxChunkLineBytes || parsed.ec != std::errc() || parsed.ptr == text || !ended)
            return this->fail(badRequest);
        if (size > this->limits.maxBodyBytes
            || this->partial->body.size() + size > this->limits.maxBodyBytes)
            return this->fail(bodyTooLarge);
        const std::size_t dataOffset = end + lineEnd.size();
        if (size == 0) {
            this->lastChunkSeen = true;
            this->consume(dataOffset);
            continue;
        }
        if (data.size() < dataOffset + size + lineEnd.size())
            return false;
        if (data.substr(dataOffset + size, lineEnd.size()) != lineEnd)
            return this->fail(badRequest);
        this->partial->body.append(data.substr(dataOffset, size));
        this->consume(dataOffset + size + lineEnd.size());
        if (!this->countFraming(dataOffset + lineEnd.size()))
            return false;
    }
}

template class HttpReader<Poco::Net::HTTPRequest>;
template class HttpReader<Poco::Net::HTTPResponse>;

} // namespace quetzal
