#include "orders/lease.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonbank::Orders {

namespace {

constexpr std::array<std::string_view, 3> stepNames{"claim", "renew", "release"};
constexpr std::size_t maxRecordBytes = 4096;

Errors::Error badRecord(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, std::move(detail));
}

} // namespace

std::string toText(const LeaseRecord &record)
{
    nlohmann::json json{{"step", stepNames.at(static_cast<std::size_t>(record.step))},
                        {"data_centre", record.dataCentre.value()},
                        {"holder", record.holder},
                        {"log_first", record.logFirst.value()},
                        {"fencing", record.fencing.value()}};
    if (record.base)
        json["base"] = record.base->value();
    return json.dump();
}

Errors::Result<LeaseRecord> leaseRecordFromText(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return badRecord("lease record is too long");
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return badRecord("lease record is not a JSON object");
    const auto hasText = [&](const char *key) {
        return json.contains(key) && json[key].is_string();
    };
    const auto hasNumber = [&](const char *key) {
        return json.contains(key) && json[key].is_number_unsigned();
    };
    if (!hasText("step") || !hasText("data_centre") || !hasText("holder") || !hasNumber("log_first")
        || !hasNumber("fencing") || (json.contains("base") && !hasNumber("base")))
        return badRecord("lease record has a missing key or a value of a wrong type");
    const auto step =
        std::find(stepNames.begin(), stepNames.end(), json["step"].get<std::string>());
    if (step == stepNames.end())
        return badRecord("lease record has an unknown step");
    LeaseRecord record{.step = static_cast<LeaseStep>(step - stepNames.begin()),
                       .dataCentre = Base::DataCentreId(json["data_centre"].get<std::string>()),
                       .holder = json["holder"].get<std::string>(),
                       .logFirst = Base::LogOffset(json["log_first"].get<std::uint64_t>()),
                       .fencing = Base::FencingNumber(json["fencing"].get<std::uint64_t>())};
    if (json.contains("base"))
        record.base = Base::LogOffset(json["base"].get<std::uint64_t>());
    return record;
}

bool LeaseState::apply(Base::LogOffset offset, const LeaseRecord &record)
{
    if (record.dataCentre != m_dataCentre || (m_lastOffset && offset <= *m_lastOffset))
        return false;
    if (record.step == LeaseStep::Claim) {
        if (!isValidClaim(record))
            return false;
        m_holder = record.holder;
        m_fencing = Base::FencingNumber(offset.value());
        m_lastOffset = offset;
        return true;
    }
    // If retention has removed the record of the claim, the renewal or release defines the state.
    if (m_fencing && (record.fencing != *m_fencing || record.holder != m_holder))
        return false;
    m_fencing = record.fencing;
    m_holder = record.step == LeaseStep::Release ? std::string() : record.holder;
    m_lastOffset = offset;
    return true;
}

bool LeaseState::isValidClaim(const LeaseRecord &record) const
{
    // The claim is stale if the claimant had not read the latest record, such as a renewal.
    return !m_lastOffset || record.base == m_lastOffset || *m_lastOffset < record.logFirst;
}

LeaseKeeper::LeaseKeeper(Options options, Base::MonoTime now)
    : m_options(std::move(options))
    , m_state(m_options.dataCentre)
    // A claim or renewal from before this process started may be valid for up to a full term.
    , m_claimableAt(now + m_options.term)
{ }

void LeaseKeeper::recordRead(Base::LogOffset offset, const std::string &id,
                             const LeaseRecord &record, Base::MonoTime now)
{
    const bool isPending = !m_pendingId.empty() && id == m_pendingId;
    const Base::MonoTime sentAt = m_pendingSince;
    if (isPending)
        m_pendingId.clear();
    if (!m_state.apply(offset, record))
        return;
    m_claimableAt = record.step == LeaseStep::Release ? now : now + m_options.term;
    if (isPending && isHolder()) {
        m_heldUntil = sentAt + m_options.term - m_options.margin;
        if (record.step == LeaseStep::Claim) {
            m_uncheckedOrdersFrom = now + m_options.longestOrder;
            m_isGained = true;
            if (gained)
                gained(*m_state.fencing());
        }
    }
    if (m_isGained && !isHolder()) {
        m_isGained = false;
        m_heldUntil = {};
        if (lost)
            lost();
    }
}

void LeaseKeeper::caughtUp(Base::LogOffset first)
{
    m_logFirst = first;
    // Renewals may have been missed while the log could not be read. No further check is needed, as
    // LeaseState rejects a claim that is based on an older record.
    m_isCaughtUp = true;
}

void LeaseKeeper::advance(bool isCandidate, Base::MonoTime now)
{
    if (m_isGained && now >= m_heldUntil) {
        m_isGained = false;
        if (lost)
            lost();
    }
    if (!m_isCaughtUp)
        return;
    if (!m_pendingId.empty()) {
        // The response was lost or the append failed. Appending the same record again is harmless.
        const bool isStale = now - m_pendingSince >= m_options.term - m_options.margin;
        if (isStale) {
            m_pendingId.clear();
        } else if (now - m_lastAttemptAt >= m_options.retryPeriod) {
            m_lastAttemptAt = now;
            appendRequested(m_pendingId, m_pendingRecord);
        }
        return;
    }
    if (isHolder() && m_isGained) {
        if (now - m_pendingSince >= m_options.renewPeriod)
            append({.step = LeaseStep::Renew, .fencing = *m_state.fencing()}, now);
        return;
    }
    if (isCandidate && now >= m_claimableAt)
        append({.step = LeaseStep::Claim, .base = m_state.lastOffset(), .logFirst = m_logFirst},
               now);
}

void LeaseKeeper::release(Base::MonoTime now)
{
    if (!isHolder())
        return;
    m_heldUntil = {};
    append({.step = LeaseStep::Release, .fencing = *m_state.fencing()}, now);
}

std::optional<Base::FencingNumber> LeaseKeeper::mayOrder(bool endpointChecksFencing,
                                                         Base::MonoTime now) const
{
    if (!isHolder() || now >= m_heldUntil)
        return std::nullopt;
    if (!endpointChecksFencing && now < m_uncheckedOrdersFrom)
        return std::nullopt;
    return m_state.fencing();
}

bool LeaseKeeper::isHolder() const
{
    return m_state.fencing() && m_state.holder() == m_options.holder;
}

void LeaseKeeper::append(LeaseRecord record, Base::MonoTime now)
{
    record.dataCentre = m_options.dataCentre;
    record.holder = m_options.holder;
    m_pendingRecord = std::move(record);
    m_pendingId = m_options.holder + '/' + std::to_string(++m_appendCount);
    m_pendingSince = now;
    m_lastAttemptAt = now;
    appendRequested(m_pendingId, m_pendingRecord);
}

} // namespace Lagoonbank::Orders
