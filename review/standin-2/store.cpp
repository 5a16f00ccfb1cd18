#include "store.h"

#include <charconv>

#include <poll.h>
#include <sys/socket.h>

namespace review {

static std::string base64(const std::string &bytes)
{
    static constexpr std::string_view digits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8
                    | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text += at + i > bytes.size() ? '=' : digits[group >> (6 * (3 - i)) & 63];
    }
    return text;
}

static std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        int code = 0;
        const bool isCode
                = text[i] == '%' && i + 2 < text.size()
                  && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ec
                             == std::errc();
        result += isCode ? static_cast<char>(code) : text[i];
        i += isCode ? 2 : 0;
    }
    return result;
}

static std::map<std::string, std::string> readQuery(const std::string &target)
{
    std::map<std::string, std::string> result;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            result[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
        at = end;
    }
    return result;
}

static std::uint64_t number(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

Store::Store(const Address &address)
    : listener(listenOn(address))
    , acceptor([this] { this->accept(); })
{}

Store::~Store()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->acceptor.join();
    for (std::thread &worker : this->workers)
        worker.join();
}

void Store::put(const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock(this->mutex);
        Item &item = this->items[key];
        this->revision += 1;
        item = { key, value, this->revision,
                 item.createRevision > 0 ? item.createRevision : this->revision, false };
        this->history.push_back(item);
    }
    this->changed.notify_all();
}

void Store::erase(const std::string &key)
{
    {
        const std::lock_guard lock(this->mutex);
        this->items.erase(key);
        this->revision += 1;
        this->history.push_back({ key, "", this->revision, 0, true });
    }
    this->changed.notify_all();
}

void Store::accept()
{
    while (this->listener.isOpen()) {
        pollfd entry = { this->listener.descriptor(), POLLIN, 0 };
        const int ready = ::poll(&entry, 1, 50);
        const std::lock_guard lock(this->mutex);
        if (this->stopping)
            return;
        if (ready <= 0)
            continue;
        Socket socket(::accept(this->listener.descriptor(), nullptr, nullptr));
        this->workers.emplace_back([this, accepted = std::move(socket)]() mutable {
            Connection connection(std::move(accepted));
            this->serve(connection);
        });
    }
}

void Store::serve(Connection &connection)
{
    while (true) {
        Message request;
        const ReadEnd end = connection.read(request, Clock::now() + Milliseconds(200));
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping || end == ReadEnd::Closed)
                return;
        }
        if (end == ReadEnd::Complete && !connection.write(this->answer(request)))
            return;
    }
}

std::string Store::answer(const Message &request)
{
    const std::string target = request.word(1);
    std::map<std::string, std::string> query = readQuery(target);
    const std::vector<std::pair<std::string, std::string>> fields
            = { { "Content-Type", "application/json" } };
    if (target.starts_with("/api/kv-range"))
        return makeResponse(200, fields, this->listing(query["prefix"], query["after"]));
    if (target.starts_with("/api/kv-watch"))
        return makeResponse(200, fields,
                            this->events(query["prefix"], number(query["after"]),
                                         Milliseconds(number(query["waitMs"]))));
    return makeResponse(404, fields, "{}");
}

std::string Store::json(const Item &item)
{
    const std::string key
            = R"({"key":")" + item.key + R"(","revision":)" + std::to_string(item.revision);
    if (item.deleted)
        return key + R"(,"deleted":true})";
    return key + R"(,"createRev":)" + std::to_string(item.createRevision)
           + R"(,"lease":0,"value":")" + base64(item.value) + "\"}";
}

std::string Store::listing(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(prefix) && key > after)
            text += (text.empty() ? "" : ",") + json(item);
    }
    return R"({"items":[)" + text + R"(],"hasMore":false,"currentRev":)"
           + std::to_string(this->revision) + "}";
}

std::string Store::events(const std::string &prefix, std::uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait, [&] { return this->stopping || this->revision > after; });
    std::string text;
    for (const Item &item : this->history) {
        if (item.revision > after && item.key.starts_with(prefix))
            text += (text.empty() ? "" : ",") + json(item);
    }
    return R"({"events":[)" + text + R"(],"currentRev":)" + std::to_string(this->revision) + "}";
}

} // namespace review
