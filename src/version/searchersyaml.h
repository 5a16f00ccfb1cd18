// Registrations of searchers as a YAML file, for installations without a registry.
#pragma once

#include "version/searcherdirectory.h"
#include "version/yamlreader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// All registrations at one revision.
struct SearchersFile
{
    // Raised by whoever edits the files; it is the tables' revision too.
    std::uint64_t revision = 0;
    std::vector<SearcherRegistration> searchers;
};

// Parses and checks the file. Errors name file, line, searcher and field.
Parsed<SearchersFile> parseSearchers(const std::string &file, const std::string &text);

} // namespace quetzal
