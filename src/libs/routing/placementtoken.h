#pragma once

#include "base/units.h"
#include "routing/placementtable.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Routing {

/// Writes and reads the opaque token by which a caller brings a chat's place back. A token is
/// bound to its chat and signed with HMAC-SHA256, cut to 128 bits. What can't be verified is
/// ignored, never an error: a token is a hint.
///
/// Text form: base64url, 48 characters, of version, key number, endpoint hash, cached tokens,
/// issue time and signature.
class PlacementToken
{
public:
    static constexpr std::size_t textLength = 48;
    using Text = std::array<char, textLength>;

    struct Options
    {
        std::string currentKey; ///< Signs and verifies.
        std::string previousKey; ///< Verifies only, for rotation; may be empty.
        Base::Duration lifetime = std::chrono::hours(24);
    };

    explicit PlacementToken(const Options &options);
    ~PlacementToken();
    PlacementToken(PlacementToken &&) noexcept;
    PlacementToken &operator=(PlacementToken &&) noexcept;

    /// False without a current key: no tokens are written then.
    bool enabled() const;
    Text write(std::uint64_t chatHash, const Placement &placement, Base::WallTime now) const;
    std::optional<Placement> read(std::string_view text, std::uint64_t chatHash,
                                  Base::WallTime now) const;

private:
    class Signer;

    std::unique_ptr<Signer> m_current;
    std::unique_ptr<Signer> m_previous;
    Base::Duration m_lifetime;
};

inline std::string_view toView(const PlacementToken::Text &text)
{
    return {text.data(), text.size()};
}

} // namespace Lagoonbank::Routing
