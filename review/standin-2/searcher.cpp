#include "searcher.h"

#include <charconv>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace review {

static constexpr int maxWaiting = 12;

std::string registrationOf(const SearcherPlace &place)
{
    return R"({"service":")" + place.service + R"(","address":")" + place.address.text()
           + R"(","zone":")" + place.zone + R"(","version":"v1","maxConcurrency":)"
           + std::to_string(place.slots)
           + R"(,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1700000000000})";
}

Searcher::Searcher(SearcherPlace place)
    : searcherPlace(std::move(place))
    , listener(listenOn(this->searcherPlace.address))
    , acceptor([this] { this->accept(); })
{}

Searcher::~Searcher()
{
    this->stopping = true;
    this->slotFree.notify_all();
    this->acceptor.join();
    for (std::thread &worker : this->workers)
        worker.join();
}

std::vector<std::string> Searcher::runs() const
{
    std::vector<std::string> ids;
    for (const auto &[id, at] : this->runTimes())
        ids.push_back(id);
    return ids;
}

std::vector<std::pair<std::string, Time>> Searcher::runTimes() const
{
    const std::lock_guard lock(this->mutex);
    return this->runList;
}

void Searcher::accept()
{
    while (!this->stopping && this->listener.isOpen()) {
        pollfd entry = { this->listener.descriptor(), POLLIN, 0 };
        if (::poll(&entry, 1, 50) <= 0)
            continue;
        Socket socket(::accept(this->listener.descriptor(), nullptr, nullptr));
        this->workers.emplace_back([this, accepted = std::move(socket)]() mutable {
            Connection connection(std::move(accepted));
            this->serve(connection);
        });
    }
}

void Searcher::serve(Connection &connection)
{
    while (!this->stopping) {
        Message request;
        const ReadEnd end = connection.read(request, Clock::now() + Milliseconds(200));
        if (end == ReadEnd::Closed)
            return;
        if (end == ReadEnd::Complete && !connection.write(this->answer(request)))
            return;
    }
}

std::string Searcher::load()
{
    const std::lock_guard lock(this->mutex);
    return std::to_string(this->running) + "," + std::to_string(this->waiting) + ","
           + std::to_string(this->searcherPlace.slots);
}

bool Searcher::takeSlot(Time until)
{
    std::unique_lock lock(this->mutex);
    if (this->running >= this->searcherPlace.slots && this->waiting >= maxWaiting)
        return false;
    this->waiting += 1;
    const bool taken = this->slotFree.wait_until(lock, until, [this] {
        return this->stopping || this->running < this->searcherPlace.slots;
    });
    this->waiting -= 1;
    this->running += taken ? 1 : 0;
    return taken;
}

void Searcher::releaseSlot()
{
    {
        const std::lock_guard lock(this->mutex);
        this->running -= 1;
    }
    this->slotFree.notify_one();
}

std::string Searcher::answer(const Message &request)
{
    const std::string id = request.field("Quetzalchute-Request-Id");
    const std::string target = request.field("Quetzalchute-Target-Instance");
    if (!target.empty() && target != this->searcherPlace.id)
        return makeResponse(421, { { "Quetzalchute-Instance-Id", this->searcherPlace.id } }, "");
    if (request.word(1) == "/health")
        return makeResponse(200,
                            { { "Quetzalchute-Instance-Id", this->searcherPlace.id },
                              { "Quetzalchute-Server-Load", this->load() } },
                            "");
    const std::string budget = request.field("Quetzalchute-Deadline-Ms");
    int left = 0;
    std::from_chars(budget.data(), budget.data() + budget.size(), left);
    if (id.empty() || !this->takeSlot(Clock::now() + Milliseconds(left)))
        return makeResponse(id.empty() ? 400 : 503,
                            { { "Quetzalchute-Request-Id", id },
                              { "Quetzalchute-Not-Executed", "1" },
                              { "Quetzalchute-Server-Load", this->load() } },
                            "");
    {
        const std::lock_guard lock(this->mutex);
        this->runList.emplace_back(id, Clock::now());
    }
    std::this_thread::sleep_for(std::min(this->searcherPlace.work, Milliseconds(left)));
    const bool isLate = this->searcherPlace.work > Milliseconds(left);
    this->releaseSlot();
    return makeResponse(isLate ? 504 : 200,
                        { { "Quetzalchute-Request-Id", id },
                          { "Quetzalchute-Response-Seal",
                            id + "." + this->searcherPlace.service + "." + this->searcherPlace.id },
                          { "Quetzalchute-Server-Load", this->load() } },
                        isLate ? "" : this->searcherPlace.body(id));
}

} // namespace review
