#include "configuration/state.h"

#include "configuration/rules.h"

#include <xxhash.h>

#include <array>
#include <memory>

namespace Lagoonbank::Configuration {

namespace {

constexpr std::array<std::string_view, 6> verdictNames{"accepted", "repeated",  "stale",
                                                       "invalid",  "malformed", "newer_version"};

std::string firstOf(const Schema::SettingsErrors &errors)
{
    std::string text = Schema::toText({errors.front()});
    text.pop_back();
    if (errors.size() > 1)
        text += " (and " + std::to_string(errors.size() - 1) + " more)";
    return text;
}

Schema::Source sourceOf(const std::string &file, std::uint32_t line,
                        const std::map<std::string, std::uint32_t> &lines)
{
    Schema::Source source{.file = file, .line = static_cast<int>(line)};
    for (const auto &[key, number] : lines)
        source.lines[key] = static_cast<int>(number);
    return source;
}

Errors::Error refusal(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, std::move(detail));
}

class Hasher
{
public:
    Hasher()
        : m_state(XXH3_createState(), &XXH3_freeState)
    {
        XXH3_64bits_reset(m_state.get());
    }

    void add(std::uint64_t number) { XXH3_64bits_update(m_state.get(), &number, sizeof(number)); }
    void add(const std::string &text)
    {
        add(text.size());
        XXH3_64bits_update(m_state.get(), text.data(), text.size());
    }
    std::uint64_t result() const { return XXH3_64bits_digest(m_state.get()); }

private:
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> m_state;
};

} // namespace

std::string_view toString(Verdict verdict)
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

std::ostream &operator<<(std::ostream &stream, Verdict verdict)
{
    return stream << toString(verdict);
}

ChangeResult State::apply(const LogRecord &record, const ChangeRecord &change)
{
    ChangeResult result{.offset = record.offset,
                        .recordId = record.id,
                        .key = change.key,
                        .publisher = change.publisher,
                        .base = change.base,
                        .time = change.time};
    std::optional<Schema::ConfigurationObject> object;
    validate(record, change, result, object);
    if (result.verdict == Verdict::Accepted)
        storeChange(record, change, std::move(object));
    result.revision = revision(change.key);
    return result;
}

void State::validate(const LogRecord &record, const ChangeRecord &change, ChangeResult &result,
                     std::optional<Schema::ConfigurationObject> &object) const
{
    if (const auto it = m_entries.find(change.key); it != m_entries.end()) {
        if (it->second.recordId == record.id) {
            result.verdict = Verdict::Repeated;
            return;
        }
        result.winner = it->second.publisher;
    }
    if (change.base != revision(change.key)) {
        result.verdict = Verdict::Stale;
        result.detail = "based on revision " + std::to_string(change.base.value())
            + ", but revision " + std::to_string(revision(change.key).value()) + " is current";
        return;
    }
    result.winner.clear();
    Schema::SettingsErrors errors;
    if (change.removes) {
        if (!m_table.contains(change.key))
            errors.push_back({change.file, static_cast<int>(change.line),
                              "there is no " + toString(change.key) + " to remove"});
        else
            errors = checkRemoval(change.key, m_table);
    } else {
        auto read =
            Schema::readObjectJson(change.body, sourceOf(change.file, change.line, change.lines));
        if (!read) {
            errors = read.error();
        } else if (keyOf(read.value()) != change.key) {
            errors.push_back({change.file, static_cast<int>(change.line),
                              "the record names " + toString(change.key) + ", but its body is "
                                  + toString(keyOf(read.value()))});
        } else {
            errors = checkObject(read.value());
            if (errors.empty())
                errors = checkReferences(read.value(), m_table);
            object = std::move(read.value());
        }
    }
    result.verdict = errors.empty() ? Verdict::Accepted : Verdict::Invalid;
    if (!errors.empty())
        result.detail = firstOf(errors);
}

void State::storeChange(const LogRecord &record, const ChangeRecord &change,
                        std::optional<Schema::ConfigurationObject> object)
{
    Schema::ObjectState &entry = m_entries[change.key];
    entry = {.kind = change.key.kind,
             .name = change.key.name,
             .revision = Base::Revision(change.base.value() + 1),
             .offset = record.offset,
             .recordId = record.id,
             .publisher = change.publisher,
             .removed = change.removes,
             .file = change.file,
             .line = change.line,
             .lines = change.lines,
             .body = change.removes ? std::string() : change.body};
    if (object)
        m_table.set(std::move(*object));
    else
        m_table.remove(change.key);
}

void State::put(const Schema::ObjectState &object)
{
    const ObjectKey key{object.kind, object.name};
    m_entries[key] = object;
    m_table.remove(key);
    if (object.removed)
        return;
    // An object written by a newer program may not be readable. Its text is kept, as snapshots and
    // exported states include it.
    auto read =
        Schema::readObjectJson(object.body, sourceOf(object.file, object.line, object.lines));
    if (read && keyOf(read.value()) == key)
        m_table.set(std::move(read.value()));
}

Errors::Result<void> State::checkNotOlder(const State &next) const
{
    for (const auto &[key, entry] : m_entries) {
        const auto it = next.m_entries.find(key);
        if (it == next.m_entries.end())
            return refusal(toString(key) + " would be lost");
        if (it->second.revision < entry.revision || it->second.offset < entry.offset)
            return refusal(toString(key) + " would go back to an older revision");
        if (it->second.offset == entry.offset && it->second != entry)
            return refusal(toString(key) + " differs at the same revision");
    }
    return boost::outcome_v2::success();
}

Errors::Result<void> State::adopt(const std::vector<Schema::ObjectState> &objects, bool isAll,
                                  std::uint64_t expectedHash)
{
    State next;
    if (!isAll)
        next = *this;
    for (const Schema::ObjectState &object : objects)
        next.put(object);
    if (next.hash() != expectedHash)
        return refusal("the hash does not come out");
    Errors::Result<void> forward = checkNotOlder(next);
    if (!forward)
        return forward;
    *this = std::move(next);
    return boost::outcome_v2::success();
}

Base::Revision State::revision(const ObjectKey &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? Base::Revision() : it->second.revision;
}

std::vector<Schema::ObjectState> State::changedSince(Base::LogOffset offset) const
{
    std::vector<Schema::ObjectState> objects;
    for (const auto &[key, entry] : m_entries) {
        if (entry.offset >= offset)
            objects.push_back(entry);
    }
    return objects;
}

std::uint64_t State::hash() const
{
    Hasher hasher;
    for (const auto &[key, entry] : m_entries) {
        hasher.add(static_cast<std::uint64_t>(entry.kind));
        hasher.add(entry.name);
        hasher.add(entry.revision.value());
        hasher.add(entry.offset.value());
        hasher.add(entry.recordId);
        hasher.add(static_cast<std::uint64_t>(entry.removed));
        hasher.add(entry.body);
    }
    return hasher.result();
}

} // namespace Lagoonbank::Configuration
