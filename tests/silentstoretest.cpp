// A gateway process on loopback whose store loses a call without closing the connection.
#include "gatewaywithstore.h"

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("a change is in force in time although the store lost the watch without closing it")
{
    GatewayWithStore fixture;
    REQUIRE(fixture.runUntil(Millis(3000), [&] {
        return fixture.inForce == 1 && fixture.store.waitingCount() > 0;
    }));
    fixture.store.setSilent(true);
    fixture.runUntil(Millis(300), [] { return false; });
    fixture.store.setSilent(false);
    fixture.store.putTables();
    CHECK(fixture.runUntil(fixture.settings.changeDeadline, [&] { return fixture.inForce == 2; }));
}
