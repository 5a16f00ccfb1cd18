#include "version/workspace.h"

#include <algorithm>
#include <map>

#include <Poco/SHA2Engine.h>

namespace quetzal {

KeyDigest digestOfKey(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), static_cast<unsigned>(key.size()));
    const Poco::DigestEngine::Digest &bytes = engine.digest();
    KeyDigest digest = {};
    std::copy_n(bytes.begin(), std::min(bytes.size(), digest.size()), digest.begin());
    return digest;
}

bool isValidWorkspaceName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return c > ' ' && c < '\x7f';
    });
}

std::vector<std::string> removeDuplicateKeys(std::vector<Workspace> &workspaces)
{
    std::vector<std::string> problems;
    std::map<KeyDigest, const std::string *> owners;
    for (Workspace &workspace : workspaces) {
        std::erase_if(workspace.keys, [&](const KeyDigest &key) {
            const auto [owner, isNew] = owners.emplace(key, &workspace.name);
            const bool isDuplicate = !isNew && owner->second != &workspace.name;
            if (isDuplicate)
                problems.push_back("workspace \"" + workspace.name + "\": a key of workspace \""
                                   + *owner->second + "\" is not used");
            return isDuplicate;
        });
    }
    return problems;
}

} // namespace quetzal
