#pragma once

#include "errors/result.h"
#include "membership/peermessages.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Membership {

/// Largest datagram that a member sends or takes, without IP and UDP headers.
constexpr std::size_t maxDatagramBytes = 1200;
/// Largest sealed body over TCP.
constexpr std::size_t maxPullBytes = 4 * 1024 * 1024;
/// IPv4 and UDP headers, which count towards the budget.
constexpr std::size_t datagramOverheadBytes = 28;

/// Why a datagram was dropped.
enum class DropReason : std::uint8_t {
    Truncated,
    Oversized,
    WrongMagic,
    WrongVersion,
    WrongKey,
    Replayed,
    OldIncarnation,
    BadBody,
    OwnMessage
};
constexpr std::size_t dropReasonCount = 9;
std::string_view toString(DropReason reason);

/// Who sealed a message.
struct Sender
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const Sender &) const = default;
};

/// A message whose seal was right.
struct OpenedMessage
{
    Sender sender;
    std::string_view body; ///< Part of the datagram that was opened.
};

/// A short key of a name: endpoints, data centres and routers in digests.
std::uint32_t nameKey(std::string_view name);

/// Body of a message in cereal's portable binary form; BadMessage if a bound is exceeded.
Errors::Result<std::string> encodeMessage(const PeerMessage &message);
Errors::Result<PeerMessage> decodeMessage(std::string_view body);
Errors::Result<std::string> encodeStateRequest(const StateRequest &request);
Errors::Result<StateRequest> decodeStateRequest(std::string_view body);
Errors::Result<std::string> encodeStateAnswer(const StateAnswer &answer);
Errors::Result<StateAnswer> decodeStateAnswer(std::string_view body);

/// Bytes that entries take in an encoded body.
std::size_t encodedSize(const MemberUpdate &update);
std::size_t encodedSize(const LeavingEndpoint &leaving);
std::size_t encodedSize(const DataCentreContact &contact);
std::size_t encodedSize(const LoadReport &report);
std::size_t encodedSize(const DemandDigest &digest);
/// Of the whole body.
std::size_t encodedSize(const PeerMessage &message);
/// Bytes that the seal adds for a sender of this id.
std::size_t sealSize(std::string_view senderId);

/// Takes each sequence number of a sender's incarnation once; numbers older than the window count
/// as replayed. Independent of clocks.
class ReplayWindow
{
public:
    /// Whether \a sequence was not seen yet; remembers it.
    bool accept(std::uint64_t sequence);

private:
    static constexpr std::size_t width = 1024;
    std::uint64_t m_highest = 0;
    std::bitset<width> m_seen; ///< Bit i: highest - i.
};

/// Seals and opens messages between members: magic, version, sender, incarnation, sequence,
/// body, and HMAC-SHA256 cut to 16 bytes over all of it.
class PeerCodec
{
public:
    struct Options
    {
        std::string id; ///< Of this process.
        std::uint64_t incarnation = 0;
        /// Two at most, so that keys can be rotated; the first signs.
        std::vector<std::string> keys;
    };

    explicit PeerCodec(Options options);

    /// BadSettings unless there are one or two keys of 16 bytes or more.
    static Errors::Result<void> checkKeys(const std::vector<std::string> &keys);

    void setIncarnation(std::uint64_t incarnation) { m_options.incarnation = incarnation; }
    void setKeys(std::vector<std::string> keys) { m_options.keys = std::move(keys); }

    std::string seal(std::string_view body);
    /// Checks size, magic, version, seal and, for datagrams, the replay window, in this order;
    /// nothing is allocated for a message before its seal is known to be right. On a drop the
    /// reason is counted; for OldIncarnation \a outdated gets the sender.
    std::optional<OpenedMessage> open(std::string_view datagram,
                                      std::optional<Sender> *outdated = nullptr);
    /// The same for a body over TCP: bound to its request by the caller instead of a window.
    std::optional<OpenedMessage> openPulled(std::string_view sealed);
    void countDrop(DropReason reason) { ++m_drops[static_cast<std::size_t>(reason)]; }

    std::uint64_t drops(DropReason reason) const
    {
        return m_drops.at(static_cast<std::size_t>(reason));
    }
    /// The incarnation up to which datagrams of \a id are dropped; 0 if none was seen.
    std::uint64_t seenIncarnation(const std::string &id) const;
    /// Forgets the window of a member that is gone for good.
    void forget(const std::string &id) { m_windows.erase(id); }

private:
    struct Window
    {
        std::uint64_t incarnation = 0;
        ReplayWindow window;
    };
    using Mac = std::array<unsigned char, 16>;

    static Mac mac(std::string_view key, std::string_view data);
    bool hasValidSeal(std::string_view data, std::string_view seal) const;
    std::optional<OpenedMessage> openSealed(std::string_view sealed, std::size_t maxBytes);

    Options m_options;
    std::uint64_t m_sequence = 0;
    absl::flat_hash_map<std::string, Window> m_windows;
    std::array<std::uint64_t, dropReasonCount> m_drops{};
};

} // namespace Lagoonbank::Membership
