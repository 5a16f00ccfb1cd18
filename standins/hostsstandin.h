// Stand-in for the platform's host list, which changes with a lag.
#pragma once

#include "connection/httpserver.h"
#include "process/eventloop.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

namespace quetzal {

// Serves the host list over HTTP:
//   GET /hosts?zone=Z              returns the list with the addresses to use from zone Z
//   PUT /hosts                     replaces the list after the lag
//   POST /leaving?searcher=A&on=1  marks a searcher as due to be removed (on=0: unmarks it)
//                                  after the lag
//   POST /fault?lag_ms=L&outage=0|1
//                                  sets the lag; during an outage /hosts gets no response
// The list that is loaded or PUT has the form
// {"hosts":[{"name","zone","address","via":{ZONE:ADDRESS}}]}; "via" holds the addresses by which
// hosts in other zones reach the host. The list that is served has one "address" per host instead,
// and the addresses of the leaving searchers in "leaving_searchers".
class HostsStandin
{
public:
    // Listens on the address. Throws Poco::Exception if the list is no valid JSON.
    HostsStandin(EventLoop &loop, const std::string &address, const std::string &list);

private:
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    // Returns the list as JSON, as it is served to hosts in a zone.
    std::string hostListFor(const std::string &zone) const;
    // Applies a change after the lag.
    void scheduleChange(const std::function<void()> &change);

    EventLoop &loop;
    std::shared_ptr<HttpServer> server;
    Poco::JSON::Object::Ptr hostList;
    std::set<std::string> leavingSearchers;
    // Time between a change and its appearance in the served list.
    Millis lag = Millis(500);
    bool outage = false;
};

} // namespace quetzal
