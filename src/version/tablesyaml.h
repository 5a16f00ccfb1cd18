// The operators' tables as YAML files.
#pragma once

#include "version/routingtables.h"
#include "version/yamlreader.h"

#include <string>

namespace quetzal {

// Both tables with the list of zones they may name.
struct TableContents
{
    std::vector<std::string> zones;
    std::vector<Route> routes;
    std::vector<Pool> pools;
};

// Parses and checks both files together. Errors name file, line, entry and field.
Parsed<TableContents> parseTables(const std::string &routesFile, const std::string &routesText,
                                  const std::string &poolsFile, const std::string &poolsText);

// Writes the tables so that parseTables reads them back equal.
std::string formatRoutes(const std::vector<Route> &routes);
std::string formatPools(const std::vector<std::string> &zones, const std::vector<Pool> &pools);

} // namespace quetzal
