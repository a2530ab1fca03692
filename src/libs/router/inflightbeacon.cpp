#include "router/inflightbeacon.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Router {

namespace {

constexpr double workUnitsPerStep = 8; ///< In work units.
constexpr double maxWorkSteps = 65535;
constexpr int keyBytes = 4;
constexpr int workBytes = 2;

void appendNumber(std::string &out, std::uint32_t number, int bytes)
{
    for (int i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
}

std::uint32_t readNumber(std::string_view text, int bytes)
{
    std::uint32_t number = 0;
    for (int i = 0; i < bytes; ++i)
        number |= static_cast<std::uint32_t>(static_cast<unsigned char>(text[i])) << (8 * i);
    return number;
}

} // namespace

std::string encodeBeacon(char firstByte, const std::vector<InFlight> &entries)
{
    std::string body(1, firstByte);
    for (std::size_t i = 0; i < std::min(entries.size(), maxBeaconEntries); ++i) {
        appendNumber(body, entries[i].endpoint, keyBytes);
        const double steps =
            std::clamp(std::round(entries[i].work.value() / workUnitsPerStep), 0.0, maxWorkSteps);
        appendNumber(body, static_cast<std::uint32_t>(steps), workBytes);
    }
    return body;
}

std::optional<std::vector<InFlight>> decodeBeacon(char firstByte, std::string_view body)
{
    if (body.empty() || body.front() != firstByte || (body.size() - 1) % beaconEntryBytes != 0)
        return std::nullopt;
    std::vector<InFlight> entries;
    for (std::size_t offset = 1; offset < body.size(); offset += beaconEntryBytes) {
        const std::uint32_t steps = readNumber(body.substr(offset + keyBytes), workBytes);
        entries.push_back({readNumber(body.substr(offset), keyBytes),
                           Base::WorkUnits(static_cast<double>(steps) * workUnitsPerStep)});
    }
    return entries;
}

} // namespace Lagoonbank::Router
