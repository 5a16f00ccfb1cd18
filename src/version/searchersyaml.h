// Parser of the YAML file that lists the searchers of an installation without a registry.
#pragma once

#include "version/searcherdirectory.h"
#include "version/yamlreader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// The registrations of one file, all at its revision.
struct SearchersFile
{
    // Increased by the operator with each edit; also the revision of the routing tables.
    std::uint64_t revision = 0;
    std::vector<SearcherRegistration> searchers;
};

// Parses and validates the file. Errors name file, line, searcher and field.
Parsed<SearchersFile> parseSearchers(const std::string &file, const std::string &text);

} // namespace quetzal
