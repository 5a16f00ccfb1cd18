// The routing tables as YAML files.
#pragma once

#include "version/routingtables.h"
#include "version/yamlreader.h"

#include <string>

namespace quetzal {

// The routes and pools without revision, with the zones that searchers may be in.
struct TableContents
{
    std::vector<std::string> zones;
    std::vector<Route> routes;
    std::vector<Pool> pools;
};

// Parses and validates both files together. Errors name file, line, entry and field.
Parsed<TableContents> parseTables(const std::string &routesFile, const std::string &routesText,
                                  const std::string &poolsFile, const std::string &poolsText);

// Format the tables as YAML that parseTables reads back as equal values.
std::string formatRoutes(const std::vector<Route> &routes);
std::string formatPools(const std::vector<std::string> &zones, const std::vector<Pool> &pools);

} // namespace quetzal
