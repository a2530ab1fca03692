#include "membership/peercodec.h"

#include "schema/messagecodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <utility>

namespace Lagoonbank::Membership {

namespace {

constexpr std::string_view magic = "LGBK";
constexpr unsigned char protocolVersion = 1;
constexpr std::size_t macBytes = 16;
constexpr std::size_t numberBytes = 8;
/// Size of magic, version and length of the sender's id.
constexpr std::size_t fixedHeadBytes = magic.size() + 2;
constexpr std::size_t minSealedBytes = fixedHeadBytes + 2 * numberBytes + macBytes;
constexpr std::size_t minKeyBytes = 16;
constexpr std::size_t maxKeys = 2;

/// Encoded size of a variable-length integer, which has seven bits in each byte.
std::size_t countSize(std::uint64_t value)
{
    constexpr std::size_t bitsPerByte = 7;
    return std::max<std::size_t>(1, (std::bit_width(value) + bitsPerByte - 1) / bitsPerByte);
}

std::size_t textSize(std::string_view text)
{
    return countSize(text.size()) + text.size();
}

template<typename T>
std::size_t sectionSize(const std::vector<T> &section)
{
    std::size_t size = countSize(section.size());
    for (const T &entry : section)
        size += encodedSize(entry);
    return size;
}

void appendNumber(std::string &out, std::uint64_t number)
{
    for (std::size_t i = 0; i < numberBytes; ++i)
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
}

std::uint64_t readNumber(std::string_view data)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < numberBytes; ++i)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(data[i])) << (8 * i);
    return number;
}

} // namespace

std::string_view toString(DropReason reason)
{
    static constexpr std::array<std::string_view, dropReasonCount> names{
        "truncated", "oversized",       "wrong_magic", "wrong_version", "wrong_key",
        "replayed",  "old_incarnation", "bad_body",    "own_message"};
    return names.at(static_cast<std::size_t>(reason));
}

std::uint32_t nameKey(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0));
}

Errors::Result<std::string> encodeMessage(const PeerMessage &message)
{
    return Schema::encodeMessage(message);
}

Errors::Result<PeerMessage> decodeMessage(std::string_view body)
{
    return Schema::decodeMessage<PeerMessage>(body);
}

Errors::Result<std::string> encodeStateRequest(const StateRequest &request)
{
    return Schema::encodeMessage(request);
}

Errors::Result<StateRequest> decodeStateRequest(std::string_view body)
{
    return Schema::decodeMessage<StateRequest>(body);
}

Errors::Result<std::string> encodeStateAnswer(const StateAnswer &answer)
{
    return Schema::encodeMessage(answer);
}

Errors::Result<StateAnswer> decodeStateAnswer(std::string_view body)
{
    return Schema::decodeMessage<StateAnswer>(body);
}

std::size_t encodedSize(const MemberUpdate &update)
{
    constexpr std::size_t enumBytes = 2;
    return enumBytes + textSize(update.id) + textSize(update.dataCentre) + textSize(update.region)
        + countSize(update.ip) + countSize(update.port) + countSize(update.incarnation);
}

std::size_t encodedSize(const LeavingEndpoint &leaving)
{
    return textSize(leaving.endpoint) + countSize(leaving.incarnation)
        + countSize(leaving.ageSeconds);
}

std::size_t encodedSize(const DataCentreContact &contact)
{
    return countSize(contact.dataCentre) + countSize(contact.ageMs);
}

std::size_t encodedSize(const LoadReport &report)
{
    return countSize(report.endpoint) + countSize(report.work) + countSize(report.ageMs)
        + countSize(report.sentSince);
}

std::size_t encodedSize(const DemandDigest &digest)
{
    return countSize(digest.origin) + countSize(digest.version) + countSize(digest.ageMs)
        + textSize(digest.workspace) + textSize(digest.bytes);
}

std::size_t encodedSize(const PeerMessage &message)
{
    constexpr std::size_t archiveHeadBytes = 1;
    constexpr std::size_t versionAndTypeBytes = 2;
    return archiveHeadBytes + versionAndTypeBytes + countSize(message.time.wallMs)
        + countSize(message.time.counter) + countSize(message.probe) + textSize(message.target)
        + countSize(message.ownHash) + countSize(message.fleetHash)
        + countSize(message.knownIncarnation) + countSize(message.configuration.offset)
        + countSize(message.configuration.hash) + sectionSize(message.leaving)
        + sectionSize(message.members) + sectionSize(message.contacts) + sectionSize(message.loads)
        + sectionSize(message.demands);
}

std::size_t sealSize(std::string_view senderId)
{
    return minSealedBytes + senderId.size();
}

bool ReplayWindow::accept(std::uint64_t sequence)
{
    if (sequence > m_highestSequence) {
        const std::uint64_t step = sequence - m_highestSequence;
        m_seenSequences = step >= windowSize ? std::bitset<windowSize>() : m_seenSequences << step;
        m_seenSequences.set(0);
        m_highestSequence = sequence;
        return true;
    }
    const std::uint64_t behind = m_highestSequence - sequence;
    if (behind >= windowSize || m_seenSequences.test(behind))
        return false;
    m_seenSequences.set(behind);
    return true;
}

PeerCodec::PeerCodec(Options options)
    : m_options(std::move(options))
{ }

Errors::Result<void> PeerCodec::checkKeys(const std::vector<std::string> &keys)
{
    using Errors::ErrorKind;
    if (keys.empty() || keys.size() > maxKeys)
        return Errors::makeError(ErrorKind::BadSettings, "there must be one or two peer keys");
    for (const std::string &key : keys) {
        if (key.size() < minKeyBytes)
            return Errors::makeError(ErrorKind::BadSettings,
                                     "a peer key must have at least 16 bytes");
    }
    return boost::outcome_v2::success();
}

std::string PeerCodec::seal(std::string_view body)
{
    std::string out;
    out.reserve(body.size() + sealSize(m_options.id));
    out.append(magic);
    out.push_back(static_cast<char>(protocolVersion));
    out.push_back(static_cast<char>(m_options.id.size()));
    out.append(m_options.id);
    appendNumber(out, m_options.incarnation);
    appendNumber(out, ++m_sequence);
    out.append(body);
    const Mac seal = mac(m_options.keys.front(), out);
    out.append(seal.begin(), seal.end());
    return out;
}

std::optional<OpenedMessage> PeerCodec::open(std::string_view datagram,
                                             std::optional<Sender> *outdated)
{
    std::optional<OpenedMessage> opened = openSealed(datagram, maxDatagramBytes);
    if (!opened)
        return std::nullopt;
    Window &window = m_replayWindows[opened->sender.id];
    if (opened->sender.incarnation < window.incarnation) {
        countDrop(DropReason::OldIncarnation);
        if (outdated)
            *outdated = opened->sender;
        return std::nullopt;
    }
    if (opened->sender.incarnation > window.incarnation)
        window = {.incarnation = opened->sender.incarnation};
    if (!window.window.accept(opened->sender.sequence)) {
        countDrop(DropReason::Replayed);
        return std::nullopt;
    }
    return opened;
}

std::optional<OpenedMessage> PeerCodec::openPulled(std::string_view sealed)
{
    return openSealed(sealed, maxPullBytes);
}

std::uint64_t PeerCodec::seenIncarnation(const std::string &id) const
{
    const auto found = m_replayWindows.find(id);
    return found == m_replayWindows.end() ? 0 : found->second.incarnation;
}

PeerCodec::Mac PeerCodec::mac(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> whole{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), whole.data(), &size);
    Mac truncated{};
    std::copy_n(whole.begin(), truncated.size(), truncated.begin());
    return truncated;
}

bool PeerCodec::hasValidSeal(std::string_view data, std::string_view seal) const
{
    return std::any_of(m_options.keys.begin(), m_options.keys.end(), [&](const std::string &key) {
        const Mac expected = mac(key, data);
        return CRYPTO_memcmp(expected.data(), seal.data(), expected.size()) == 0;
    });
}

std::optional<OpenedMessage> PeerCodec::openSealed(std::string_view sealed, std::size_t maxBytes)
{
    const auto drop = [this](DropReason reason) {
        countDrop(reason);
        return std::nullopt;
    };
    if (sealed.size() > maxBytes)
        return drop(DropReason::Oversized);
    if (sealed.size() < minSealedBytes)
        return drop(DropReason::Truncated);
    if (!sealed.starts_with(magic))
        return drop(DropReason::WrongMagic);
    if (static_cast<unsigned char>(sealed[magic.size()]) != protocolVersion)
        return drop(DropReason::WrongVersion);
    const std::size_t idSize = static_cast<unsigned char>(sealed[magic.size() + 1]);
    if (idSize == 0 || idSize > maxNameBytes || sealed.size() < minSealedBytes + idSize)
        return drop(DropReason::Truncated);

    const std::string_view data = sealed.substr(0, sealed.size() - macBytes);
    if (!hasValidSeal(data, sealed.substr(data.size())))
        return drop(DropReason::WrongKey);

    std::string_view rest = data.substr(fixedHeadBytes);
    OpenedMessage opened;
    opened.sender.id = std::string(rest.substr(0, idSize));
    rest.remove_prefix(idSize);
    opened.sender.incarnation = readNumber(rest);
    opened.sender.sequence = readNumber(rest.substr(numberBytes));
    opened.body = rest.substr(2 * numberBytes);
    if (opened.sender.id == m_options.id)
        return drop(DropReason::OwnMessage);
    return opened;
}

} // namespace Lagoonbank::Membership
