// Stand-ins for the reviews' scripts: the platform's store, searchers, callers and the processes
// under test. Blocking sockets with one thread a connection; loopback addresses only.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

// Milliseconds on the steady clock since the program started.
double nowMs();
void sleepMs(double time);

// What was sent, answered and run, with times; written to a file at the end. Thread-safe.
class Record
{
public:
    void add(const std::string &line);
    void write(const std::string &path) const;

private:
    mutable std::mutex mutex;
    std::vector<std::string> lines;
};

// An address on the loopback interface.
struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

// An HTTP/1.1 message. Names of fields are in lower case.
struct Message
{
    // The three words of the first line.
    std::string first;
    std::string second;
    std::string third;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const;
    int status() const;
};

// A connected socket with a read buffer. Closes the socket when it is destroyed.
class Connection
{
public:
    explicit Connection(int socket)
        : fd(socket)
    {}
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Connects, or returns a null pointer if that fails within the time.
    static std::unique_ptr<Connection> open(const Address &to, double timeoutMs);

    // Reads a message with a length. Returns nothing at the end of the stream, after an error or
    // when the time is over; timedOut tells the last case from the others.
    std::optional<Message> read(double timeoutMs);
    bool timedOut() const { return this->wasTimeout; }

    bool write(const std::string &bytes) const;
    // True if the peer has closed or reset the connection.
    bool isPeerGone() const;
    // Receives bytes as they come; an empty text at the end of the stream.
    std::string receive();
    // Ends the connection for both sides; a blocked read returns.
    void shut() const;
    // Makes close send a reset.
    void resetOnClose() const;

private:
    bool fill(double until);

    int fd;
    std::string buffer;
    bool wasTimeout = false;
};

// Accepts connections and runs a handler for each in its own thread.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(const Address &address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Closes the listening socket and all connections.
    void stop();

private:
    void acceptAll();

    int fd = -1;
    Handler handler;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::list<std::shared_ptr<Connection>> connections;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

// The platform's store: listing and watches as PROTOCOL.md describes them, in JSON.
class Store
{
public:
    explicit Store(const Address &address);
    ~Store() { this->stop(); }
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    // Writes a key and returns the time of the acknowledgement.
    double put(const std::string &key, const std::string &value);
    // Removes a key and returns the time of the acknowledgement.
    double remove(const std::string &key);
    // Returns the number of listings that were evaluated.
    int listings() const { return this->listingCount; }
    void stop();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    void serve(Connection &connection);
    std::string range(const std::string &prefix, const std::string &after);
    std::string watch(const std::string &prefix, std::uint64_t after, double waitMs);

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::uint64_t revision = 100;
    std::atomic<int> listingCount = 0;
    std::map<std::string, Item> items;
    std::unique_ptr<Server> server;
};

// Settings of a searcher.
struct SearcherOptions
{
    std::string id;
    std::string service;
    Address address;
    std::string zone = "kigali-a";
    int slots = 2;
    int queue = 8;
    // Connections beyond this number are reset.
    int maxConns = 110;
    // Service time of a request.
    double workMs = 160;
};

// One arrival at a searcher.
struct Arrival
{
    std::string requestId;
    double at = 0;
    // 200 or 504 if it ran; 421 or 503 if it was refused; 0 if it ran and got no answer.
    int status = 0;
};

// A sound searcher: runs requests in slots, queues a few, refuses others with
// Quetzalchute-Not-Executed, stops work at the deadline and when its connection is closed.
class Searcher
{
public:
    // Sends an answer in its own way. Returns false if the searcher is to send it as it is.
    using AnswerHook = std::function<bool(Connection &connection, const std::string &requestId,
                                          const std::string &answer)>;

    Searcher(Record &record, const SearcherOptions &options);
    ~Searcher() { this->exit(); }
    Searcher(const Searcher &) = delete;
    Searcher &operator=(const Searcher &) = delete;

    const SearcherOptions &options() const { return this->settings; }
    // Key and value of its registration.
    std::string key() const { return "servers/" + this->settings.id; }
    std::string entry(const std::string &state) const;
    // Factor on the service time of the requests that start from now on.
    void setSlowness(double factor) { this->slowness = factor; }
    // To be set before the first request.
    void setAnswerHook(AnswerHook hook) { this->answerHook = std::move(hook); }
    // Ends the process that this stands for: all connections are closed.
    void exit();
    std::vector<Arrival> arrivals() const;

private:
    void serve(Connection &connection);
    void handle(Connection &connection, const Message &request);
    // Returns false if the queue is full.
    bool takeSlot();
    void freeSlot();
    void finish(std::size_t index, int status);

    Record &record;
    SearcherOptions settings;
    std::atomic<double> slowness = 1;
    AnswerHook answerHook;
    mutable std::mutex mutex;
    std::condition_variable slotFreed;
    int running = 0;
    int waiting = 0;
    int connectionCount = 0;
    bool ended = false;
    std::uint64_t sealCount = 0;
    std::vector<Arrival> arrivalList;
    std::unique_ptr<Server> server;
};

// What a caller got for a request.
struct Answer
{
    std::string requestId;
    double sentAt = 0;
    double endedAt = 0;
    // 0 if the connection ended or the time was over without an answer.
    int status = 0;
    // The gateway closes the connection after this answer.
    bool closes = false;
    std::string seal;
    std::string body;
};

// A request of a caller.
struct Ask
{
    std::string requestId;
    std::string method = "POST";
    std::string host = "shop.example";
    std::string path;
    double deadlineMs = 10'000;
    std::string body;
};

// Sends a request on a connection and waits for its answer.
Answer ask(Record &record, Connection &connection, const Ask &request);
// The same on a new connection.
Answer ask(Record &record, const Address &gateway, const Ask &request);

// A gateway under test: the program and arguments of the deploy file with settings made from its
// template, as the platform does it.
class Gateway
{
public:
    // All gateways of a scenario have the same ports, from basePort on.
    Gateway(std::string name, std::string ip, std::string zone, int basePort);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // Starts the process. Throws std::runtime_error if that fails.
    void start(const std::string &folder, const Address &store, const std::vector<Address> &seeds);
    // Waits until its status check is good. Returns false if that takes too long.
    bool waitReady() const;
    void signal(int number) const;
    // Waits for the end of the process. Returns false if it still runs after the time.
    bool waitEnd(double timeoutMs);

    Address callers() const { return { this->ip, this->basePort }; }
    Address ready() const { return { this->ip, this->basePort + 1 }; }
    Address view() const { return { this->ip, this->basePort + 2 }; }
    Address heartbeat() const { return { this->ip, this->basePort + 3 }; }

private:
    std::string settingsText(const Address &store, const std::vector<Address> &seeds) const;

    std::string name;
    std::string ip;
    std::string zone;
    int basePort;
    pid_t pid = 0;
};

// One host's link to the store. It passes bytes on; after holdUp() was called, the next bytes from
// the store arrive late, like a segment that was sent into a cut and has to be sent again.
class StoreLink
{
public:
    StoreLink(const Address &address, Address store);

    void holdUp(double lateMs) { this->delay = lateMs; }

private:
    void serve(Connection &connection);

    Address store;
    std::atomic<double> delay = 0;
    std::unique_ptr<Server> server;
};

// Passes datagrams on to another address, unless it is cut.
class DatagramLink
{
public:
    DatagramLink(const Address &address, Address target);
    ~DatagramLink();
    DatagramLink(const DatagramLink &) = delete;
    DatagramLink &operator=(const DatagramLink &) = delete;

    // Drops all datagrams for a time.
    void cut(double time) { this->cutUntil = nowMs() + time; }

private:
    void run();

    int fd = -1;
    Address target;
    std::atomic<double> cutUntil = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

// Returns a port so that this one and the next count ports are free on an address.
int freePorts(const std::string &ip, int count);

// Makes a temporary folder; removes it when it is destroyed.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return this->name; }

private:
    std::string name;
};

// True unless the environment says TROUBLE=0.
bool withTrouble();

// Exit codes of a scenario.
inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

} // namespace review
