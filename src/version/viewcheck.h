// Checks the view that another host sends before it is applied.
#pragma once

#include "version/servingview.h"

#include <string>
#include <utility>
#include <vector>

namespace quetzal {

// Returns why routing tables from another host cannot be used, or an empty text if they can. Tables
// that were read from the store are valid, so others are a fault of the sender or of a newer
// program, and no part of them is used.
std::string tablesProblem(const RoutingTables &tables);

// Removes the routes and searchers that cannot be used. Returns the name of each and the reason.
std::vector<std::pair<std::string, std::string>> removeInvalid(RoutingTables &tables);

// Turns a registration that cannot be used into one that is Gone, so that an older one of the same
// searcher is not used either. Returns why it cannot be used, or an empty text if it can.
std::string dropInvalid(SearcherRegistration &registration);

} // namespace quetzal
