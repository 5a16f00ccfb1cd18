// Which connections a memory budget closes.
#include "connection/memorybudget.h"

#include <doctest/doctest.h>

using namespace quetzal;

// Guards against closing connections while there is room, or more of them than needed.
TEST_CASE("nothing is closed within the limit, and beyond it only down to the relief fraction")
{
    MemoryBudget budget(1000);
    std::vector<MemoryBudget::AccountId> ids;
    ids.reserve(10);
    for (int i = 0; i < 10; ++i)
        ids.push_back(budget.open([] {}));
    for (const auto id : ids)
        budget.set(id, 100, Millis(0));
    CHECK(budget.heldBytes() == 1000);
    CHECK(budget.chooseExcess(Millis(0)).empty());
    budget.set(ids[0], 150, Millis(0));
    const auto chosen = budget.chooseExcess(Millis(0));
    REQUIRE(chosen.size() == 3);
    CHECK(chosen[0] == ids[0]);
}

// Guards against closing a caller that reads its answer instead of one that does not.
TEST_CASE("of two connections that hold the same, the one without progress is closed first")
{
    MemoryBudget budget(1000);
    const auto idle = budget.open([] {});
    const auto reading = budget.open([] {});
    budget.set(reading, 600, Millis(0));
    budget.set(idle, 500, Millis(0));
    budget.set(reading, 550, Millis(9000));
    budget.set(idle, 550, Millis(9000));
    CHECK(budget.chooseExcess(Millis(10'000)) == std::vector{ idle });
}

// Guards against bytes that stay counted after their connection has ended, and against a report for
// each of many bytes beyond the limit.
TEST_CASE("enforcing closes the chosen connections once and reports once")
{
    MemoryBudget budget(100);
    int reports = 0;
    int closed = 0;
    std::size_t announced = 0;
    budget.onExceeded([&] { ++reports; });
    budget.onEnforced([&](std::size_t count) { announced = count; });
    const auto small = budget.open([] {});
    MemoryBudget::AccountId large = 0;
    large = budget.open([&] {
        ++closed;
        budget.end(large);
    });
    budget.set(small, 10, Millis(0));
    budget.set(large, 95, Millis(0));
    budget.set(large, 200, Millis(1));
    CHECK(reports == 1);
    budget.enforce(Millis(2));
    CHECK(closed == 1);
    CHECK(announced == 1);
    CHECK(budget.heldBytes() == 10);
    budget.enforce(Millis(3));
    CHECK(closed == 1);
}
