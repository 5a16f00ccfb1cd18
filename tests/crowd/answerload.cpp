#include "crowd/answerload.h"

#include "crowd/crowdhost.h"
#include "quetzal/steadyclock.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusOk = 200;

// True for one or several records of the host's own searcher, and its signatures only.
static bool isOwnAnswer(const HttpResponse &response)
{
    const std::string &body = response.body;
    const std::string seals
            = response.head.get("X-Quetzal-Seal", "") + response.head.get("X-Quetzal-Parts", "");
    return !body.empty() && body.size() % CrowdHost::recordBytes == 0
           && body.find_first_not_of('r') == std::string::npos && !seals.empty()
           && seals.find("faulty") == std::string::npos;
}

void AnswerLoad::add(const std::string &target, std::size_t count, Millis pause)
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto caller = std::make_shared<Caller>();
        caller->target = target;
        caller->pause = pause;
        this->callers.push_back(caller);
        this->connect(caller);
    }
}

void AnswerLoad::stop()
{
    this->stopped = true;
    for (const auto &caller : this->callers) {
        if (caller->client)
            caller->client->close();
        caller->client.reset();
    }
}

void AnswerLoad::connect(const std::shared_ptr<Caller> &caller)
{
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [this, caller] { this->send(caller); };
    callbacks.onResponse
            = [this, caller](const HttpResponse &response) { this->onResponse(caller, response); };
    callbacks.onClosed = [this, caller](bool) {
        if (caller->waiting)
            this->tallies[caller->target].closed += 1;
        caller->waiting = false;
        this->loop.post([client = std::move(caller->client)] {});
        caller->client.reset();
        this->sendLater(caller);
    };
    caller->client = HttpClient::connect(this->loop, this->address, callbacks);
}

void AnswerLoad::send(const std::shared_ptr<Caller> &caller)
{
    caller->waiting = true;
    caller->sentAt = SteadyClock::now();
    caller->client->send("GET", caller->target,
                         { { "X-Quetzal-Request-Id", "load" + std::to_string(++this->lastId) },
                           { "X-Quetzal-Deadline-Ms", "9000" } },
                         "");
}

void AnswerLoad::onResponse(const std::shared_ptr<Caller> &caller, const HttpResponse &response)
{
    Tally &tally = this->tallies[caller->target];
    caller->waiting = false;
    tally.longest = std::max(tally.longest, SteadyClock::now() - caller->sentAt);
    if (response.head.getStatus() != statusOk)
        tally.failures += 1;
    else
        tally.successes += 1;
    if (response.head.getStatus() == statusOk && !isOwnAnswer(response))
        tally.wrong += 1;
    this->sendLater(caller);
}

void AnswerLoad::sendLater(const std::shared_ptr<Caller> &caller)
{
    this->loop.schedule(SteadyClock::now() + std::max(caller->pause, Millis(1)), [this, caller] {
        if (this->stopped || caller->waiting)
            return;
        if (caller->client)
            this->send(caller);
        else
            this->connect(caller);
    });
}

} // namespace quetzal
