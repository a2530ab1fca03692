#include "fleetsync/routerregistry.h"

#include "fleetsync/messagelimits.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>
#include <vector>

namespace Lagoonbank::FleetSync {

namespace {

/// Separates data centre, address and strength, none of which can contain it.
constexpr char separator = ' ';

} // namespace

RouterRegistry::RouterRegistry(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

RouterRegistry::~RouterRegistry()
{
    m_options.timers->cancel(m_timer);
}

void RouterRegistry::start()
{
    write();
}

void RouterRegistry::writeAgain()
{
    m_options.timers->cancel(m_timer);
    m_isCurrent = std::make_shared<bool>(true); // Answers to earlier calls are ignored.
    retry(&RouterRegistry::write);
}

void RouterRegistry::write()
{
    m_options.write(
        m_options.id,
        formatRegistryEntry({m_options.dataCentre, m_options.address, m_options.strength}),
        [this, isCurrent = std::weak_ptr<bool>(m_isCurrent)](const Errors::Result<void> &result) {
            if (isCurrent.expired())
                return;
            if (result)
                readAll();
            else
                retry(&RouterRegistry::write);
        });
}

void RouterRegistry::read(const std::string &after)
{
    m_options.source.readNewest(after,
                                [this, isCurrent = std::weak_ptr<bool>(m_isCurrent)](
                                    const Errors::Result<KeyedLog::NewestPage> &page) {
                                    if (!isCurrent.expired())
                                        pageRead(page);
                                });
}

void RouterRegistry::pageRead(const Errors::Result<KeyedLog::NewestPage> &page)
{
    if (!page) {
        retry(&RouterRegistry::readAll);
        return;
    }
    for (const KeyedLog::KeyedRecord &record : page.value().records)
        addRecord(record);
    if (const auto next = page.value().nextAfter())
        read(*next);
    else
        finish();
}

void RouterRegistry::finish()
{
    m_isDone = true;
    m_options.sync->allRoutersAdded();
    if (done)
        done();
}

void RouterRegistry::addRecord(const KeyedLog::KeyedRecord &record)
{
    const auto entry = parseRegistryEntry(record.value.value_or(std::string()));
    const bool isId = !record.key.empty() && record.key.size() <= MessageLimits::routerIdBytes;
    if (!entry || !isId) {
        if (unreadable)
            unreadable(record, entry ? "the key is not the id of a router" : entry.error().detail);
        return;
    }
    const RegisteredRouter &router = entry.value();
    m_options.sync->addRouter(record.key, router.dataCentre, router.address, router.strength);
}

void RouterRegistry::retry(void (RouterRegistry::*step)())
{
    m_timer = m_options.timers->start(m_backoff.next(), [this, step] { (this->*step)(); });
}

std::string formatRegistryEntry(const RegisteredRouter &router)
{
    return router.dataCentre + separator + Runtime::toString(router.address) + separator
        + std::to_string(router.strength);
}

Errors::Result<RegisteredRouter> parseRegistryEntry(std::string_view text)
{
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(text.data(), text.size()), separator);
    if (parts.size() != 2 && parts.size() != 3)
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "registry entry of a router has a wrong number of fields");
    if (parts[0].empty() || parts[0].size() > MessageLimits::dataCentreBytes)
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "data centre in registry entry of a router is empty or too long");
    const auto address = Runtime::parseSocketAddress(parts[1]);
    if (!address || address.value().port == 0)
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "address in registry entry of a router is none");
    RegisteredRouter router{.dataCentre = parts[0], .address = address.value()};
    if (parts.size() == 3 && !absl::SimpleAtoi(parts[2], &router.strength))
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "strength in registry entry of a router is not a number");
    return router;
}

} // namespace Lagoonbank::FleetSync
