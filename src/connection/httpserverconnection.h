// One caller's connection to an HttpServer.
#pragma once

#include "connection/httpserver.h"
#include "connection/memoryaccount.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// Handles one request at a time; pipelined requests wait in the buffer. Addresses callers that send
// without reading: reading pauses while more is buffered than the options allow, and no further
// request is handled until the caller has taken enough of the answers before it.
class HttpServerConnection final : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, EventLoop &loop);

    // Starts to read from an accepted socket.
    void start(const HttpServer &server, const Poco::Net::StreamSocket &socket);

    // Sends the answer to the current exchange and continues with the next request.
    void answer(HttpExchange &exchange, int status, const std::vector<HttpField> &fields,
                const std::string &body, const std::string &contentType);

    // Closes the connection if it is idle and no request has arrived, else after the answers that
    // are due or being sent.
    void closeGracefully();

    // Closes the connection immediately.
    void drop();

    // Closes the connection because its peer exceeds a limit.
    void dropLimited(const std::string &reason);

    // Stops handling and answering requests while the connection stays open.
    void silence() { this->silent = true; }

    bool isBusy() const { return this->currentExchange != nullptr || this->reader.hasPartial(); }

    // True if no request has begun and no answer is unsent.
    bool isIdle() const;

    // Returns when the connection was accepted or last answered a request.
    Millis waitingSince() const { return this->idleSince; }

    // Returns the number of bytes held for the connection.
    std::size_t heldBytes() const;

private:
    void onData(std::string_view data);
    // Bytes were passed to the kernel, so there may be room for the next answer.
    void onWritten();
    // Handles buffered requests until one is not answered at once.
    void handleNext();
    // Handles one request. Returns false if there is none or it may not be handled now.
    bool handleOne();
    // Answers a malformed or timed-out request and closes the connection.
    void refuse(int status);
    void send(int status, const std::vector<HttpField> &fields, const std::string &body,
              const std::string &contentType, bool keepAlive, bool withBody);
    // True if the caller has not taken enough of the earlier answers.
    bool isBlocked() const;
    // Reports what is held to the budget.
    void updateAccount();
    // Pauses or resumes reading by what is buffered.
    void updateReading();
    // Polls until the kernel has no unacknowledged bytes, then reports how long that took.
    // pendingAt: when there were still some.
    void observeDelivery(Millis respondedAt, Millis pendingAt, std::function<void(Millis)> handler);
    // Closes a connection that is to be closed, unless a request is in hand or an answer unsent.
    void closeIfDone();
    // Waits until the answer is written, ends the sending side and lingers before it closes.
    void closeWhenSent();
    void armTimer(Millis timeout);
    void onTimeout();
    // Watches that unsent bytes make progress.
    void armProgressTimer();
    void onProgressTimeout();
    void onClosed();

    std::weak_ptr<HttpServer> server;
    EventLoop &loop;
    HttpReader<Poco::Net::HTTPRequest> reader;
    std::shared_ptr<TcpStream> stream;
    std::shared_ptr<HttpExchange> currentExchange;
    // Null if the server has no budget.
    std::unique_ptr<MemoryAccount> account;
    TimerId timer = 0;
    TimerId progressTimer = 0;
    // When the kernel last took bytes of an answer.
    Millis progressedAt;
    Millis roundTrip;
    Millis idleSince;
    bool isFirst = true;
    bool closeAfterAnswer = false;
    // An answer was being sent when the connection was to be closed.
    bool answersPending = false;
    // handleNext is running.
    bool handling = false;
    // A task that continues handleNext is posted.
    bool continuing = false;
    // Received bytes are discarded, and nothing is answered.
    bool silent = false;
    // The sending side is closed; the connection is closed after lingerTime.
    bool lingering = false;
};

} // namespace quetzal
