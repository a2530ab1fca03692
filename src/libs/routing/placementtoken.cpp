#include "routing/placementtoken.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <span>
#include <stdexcept>

namespace Lagoonbank::Routing {

namespace {

using Byte = unsigned char;

constexpr Byte formatVersion = 1;
constexpr std::size_t versionOffset = 0;
// Bytes 1 to 3 are zero, so that the text needs no padding.
constexpr std::size_t endpointOffset = 4;
constexpr std::size_t cachedTokensOffset = 12;
constexpr std::size_t issueTimeOffset = 16;
constexpr std::size_t signatureOffset = 20;
constexpr std::size_t signatureLength = 16;
constexpr std::size_t rawLength = signatureOffset + signatureLength;
constexpr std::size_t signedLength = signatureOffset + sizeof(std::uint64_t);
constexpr std::size_t digestLength = 32;
static_assert(rawLength % 3 == 0 && rawLength / 3 * 4 == PlacementToken::textLength);

/// Maximum difference between the clocks of two routers.
constexpr Base::Duration maximumClockSkew = std::chrono::minutes(5);

using Raw = std::array<Byte, rawLength>;
using Signature = std::array<Byte, signatureLength>;

template<typename Number>
void store(Byte *to, Number number)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        to[i] = static_cast<Byte>(number >> (8 * i));
}

template<typename Number>
Number load(const Byte *from)
{
    Number number = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        number |= static_cast<Number>(from[i]) << (8 * i);
    return number;
}

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

constexpr Byte notInAlphabet = 0xff;

constexpr std::array<Byte, 256> makeDecodingTable()
{
    std::array<Byte, 256> table{};
    table.fill(notInAlphabet);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        table[static_cast<Byte>(alphabet[i])] = static_cast<Byte>(i);
    return table;
}

constexpr std::array<Byte, 256> decodingTable = makeDecodingTable();

void encode(const Raw &raw, PlacementToken::Text *text)
{
    for (std::size_t i = 0, j = 0; i < rawLength; i += 3, j += 4) {
        const std::uint32_t group = (raw[i] << 16) | (raw[i + 1] << 8) | raw[i + 2];
        for (std::size_t k = 0; k < 4; ++k)
            (*text)[j + k] = alphabet[(group >> (18 - 6 * k)) & 63];
    }
}

bool decode(std::string_view text, Raw *raw)
{
    if (text.size() != PlacementToken::textLength)
        return false;
    for (std::size_t i = 0, j = 0; i < rawLength; i += 3, j += 4) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            const Byte digit = decodingTable[static_cast<Byte>(text[j + k])];
            if (digit == notInAlphabet)
                return false;
            group = (group << 6) | digit;
        }
        (*raw)[i] = static_cast<Byte>(group >> 16);
        (*raw)[i + 1] = static_cast<Byte>(group >> 8);
        (*raw)[i + 2] = static_cast<Byte>(group);
    }
    return true;
}

std::uint32_t secondsOf(Base::WallTime time)
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(seconds, 0));
}

} // namespace

/// HMAC context of one key, initialized once so that a signature needs no key set-up.
class PlacementToken::Signer
{
public:
    explicit Signer(const std::string &key)
        : m_mac(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
        , m_context(m_mac ? EVP_MAC_CTX_new(m_mac) : nullptr)
    {
        char digest[] = "SHA256";
        const OSSL_PARAM params[] = {
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
            OSSL_PARAM_construct_end()};
        const auto *bytes = reinterpret_cast<const Byte *>(key.data());
        if (!m_context || EVP_MAC_init(m_context, bytes, key.size(), params) != 1) {
            release();
            throw std::runtime_error("The crypto library does not provide HMAC-SHA256");
        }
    }
    ~Signer() { release(); }
    Signer(const Signer &) = delete;
    Signer &operator=(const Signer &) = delete;

    Signature sign(const Raw &raw, std::uint64_t chatHash)
    {
        std::array<Byte, signedLength> message;
        std::copy_n(raw.begin(), signatureOffset, message.begin());
        store(message.data() + signatureOffset, chatHash);
        std::array<Byte, digestLength> digest{};
        std::size_t length = 0;
        EVP_MAC_init(m_context, nullptr, 0, nullptr);
        EVP_MAC_update(m_context, message.data(), message.size());
        EVP_MAC_final(m_context, digest.data(), &length, digest.size());
        Signature signature;
        std::copy_n(digest.begin(), signatureLength, signature.begin());
        return signature;
    }

    bool verify(const Raw &raw, std::uint64_t chatHash)
    {
        const Signature signature = sign(raw, chatHash);
        return CRYPTO_memcmp(signature.data(), raw.data() + signatureOffset, signatureLength) == 0;
    }

private:
    void release()
    {
        EVP_MAC_CTX_free(m_context);
        EVP_MAC_free(m_mac);
    }

    EVP_MAC *m_mac;
    EVP_MAC_CTX *m_context;
};

PlacementToken::PlacementToken(const Options &options)
    : m_current(options.currentKey.empty() ? nullptr : std::make_unique<Signer>(options.currentKey))
    , m_previous(options.previousKey.empty() ? nullptr
                                             : std::make_unique<Signer>(options.previousKey))
    , m_lifetime(options.lifetime)
{ }

PlacementToken::~PlacementToken() = default;
PlacementToken::PlacementToken(PlacementToken &&) noexcept = default;
PlacementToken &PlacementToken::operator=(PlacementToken &&) noexcept = default;

bool PlacementToken::enabled() const
{
    return m_current != nullptr;
}

PlacementToken::Text PlacementToken::write(std::uint64_t chatHash, const Placement &placement,
                                           Base::WallTime now) const
{
    Raw raw{};
    raw[versionOffset] = formatVersion;
    store(raw.data() + endpointOffset, placement.endpointHash);
    const auto maximum = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    const std::int64_t cached = std::clamp<std::int64_t>(placement.cached.value(), 0, maximum);
    store(raw.data() + cachedTokensOffset, static_cast<std::uint32_t>(cached));
    store(raw.data() + issueTimeOffset, secondsOf(now));
    const Signature signature = m_current->sign(raw, chatHash);
    std::copy(signature.begin(), signature.end(), raw.begin() + signatureOffset);
    Text text;
    encode(raw, &text);
    return text;
}

std::optional<Placement> PlacementToken::read(std::string_view text, std::uint64_t chatHash,
                                              Base::WallTime now) const
{
    Raw raw{};
    if (!decode(text, &raw) || raw[versionOffset] != formatVersion)
        return std::nullopt;
    const bool verified = (m_current && m_current->verify(raw, chatHash))
        || (m_previous && m_previous->verify(raw, chatHash));
    if (!verified)
        return std::nullopt;
    const Base::WallTime issued{
        std::chrono::seconds(load<std::uint32_t>(raw.data() + issueTimeOffset))};
    if (issued > now + maximumClockSkew || now - issued > m_lifetime)
        return std::nullopt;
    return Placement{.endpointHash = load<std::uint64_t>(raw.data() + endpointOffset),
                     .cached = Base::Tokens(load<std::uint32_t>(raw.data() + cachedTokensOffset))};
}

} // namespace Lagoonbank::Routing
