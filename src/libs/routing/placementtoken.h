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

/// Writes and reads the opaque token with which a caller passes a chat's placement back. A token
/// is bound to its chat and signed with HMAC-SHA256, truncated to 128 bits. A token is only a hint:
/// one that can't be verified is ignored and never causes an error.
///
/// Text form: 48 characters of base64url with version, padding bytes, endpoint hash, cached tokens,
/// issue time and signature.
class PlacementToken
{
public:
    static constexpr std::size_t textLength = 48;
    using Text = std::array<char, textLength>;

    struct Options
    {
        std::string currentKey; ///< Signs and verifies tokens; empty: no tokens are written.
        std::string previousKey; ///< Only verifies tokens, for key rotation; may be empty.
        Base::Duration lifetime = std::chrono::hours(24);
    };

    explicit PlacementToken(const Options &options);
    ~PlacementToken();
    PlacementToken(PlacementToken &&) noexcept;
    PlacementToken &operator=(PlacementToken &&) noexcept;

    /// False without a current key; write() must not be called then.
    bool enabled() const;
    Text write(std::uint64_t chatHash, const Placement &placement, Base::WallTime now) const;
    /// The placement in a token. No value if the signature does not match the token and the chat,
    /// or if the token has expired.
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
