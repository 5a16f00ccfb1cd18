// Runs hunts: hunt-tests [gateway program [seeds [seconds of faults [first seed]]]].
#include "hunt/hunt.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    const auto number = [&](int index, int fallback) {
        return argc > index ? std::atoi(argv[index]) : fallback;
    };
    const std::string program = argc > 1 ? argv[1] : QUETZAL_GATEWAY;
    const int seeds = number(2, 1);
    const int seconds = number(3, 40);
    const int firstSeed = number(4, 1);
    static constexpr double millisPerSecond = 1000;
    bool failed = false;
    for (int seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        quetzal::Hunt hunt(program, static_cast<std::uint64_t>(seed));
        const bool isRed = hunt.run(quetzal::Millis(seconds * millisPerSecond)) > 0;
        failed |= isRed;
        if (isRed)
            std::cout << "seed " << seed << ": events and logs are in " << hunt.folder()
                      << std::endl;
        else
            std::filesystem::remove_all(hunt.folder());
    }
    return failed ? 1 : 0;
}
