#include "fleetsync/routerregistry.h"

#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Stands between data centre and address; neither can hold it.
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

void RouterRegistry::write()
{
    m_options.write(
        m_options.id, registryEntry(m_options.dataCentre, m_options.address),
        [this, isAlive = std::weak_ptr<bool>(m_isAlive)](const Errors::Result<void> &written) {
            if (isAlive.expired())
                return;
            if (written)
                readAll();
            else
                later(&RouterRegistry::write);
        });
}

void RouterRegistry::read(const std::string &after)
{
    m_options.source.readNewest(after,
                                [this, isAlive = std::weak_ptr<bool>(m_isAlive)](
                                    const Errors::Result<KeyedLog::NewestPage> &page) {
                                    if (!isAlive.expired())
                                        pageRead(page);
                                });
}

void RouterRegistry::pageRead(const Errors::Result<KeyedLog::NewestPage> &page)
{
    if (!page) {
        later(&RouterRegistry::readAll);
        return;
    }
    for (const KeyedLog::KeyedRecord &record : page.value().records)
        take(record);
    if (page.value().hasMore && !page.value().records.empty())
        read(page.value().records.back().key);
    else
        m_isDone = true;
}

void RouterRegistry::take(const KeyedLog::KeyedRecord &record)
{
    const auto router = readRegistryEntry(record.value.value_or(std::string()));
    if (router)
        m_options.sync->addRouter(record.key, router.value().dataCentre, router.value().address);
}

void RouterRegistry::later(void (RouterRegistry::*step)())
{
    m_timer = m_options.timers->start(m_backoff.next(), [this, step] { (this->*step)(); });
}

std::string registryEntry(const std::string &dataCentre, const Runtime::SocketAddress &address)
{
    return dataCentre + separator + Runtime::toString(address);
}

Errors::Result<RegisteredRouter> readRegistryEntry(std::string_view text)
{
    const std::size_t space = text.find(separator);
    if (space == std::string_view::npos)
        return Errors::makeError(Errors::ErrorKind::BadMessage, "a router without an address");
    auto address = Runtime::parseSocketAddress(text.substr(space + 1));
    if (!address)
        return address.error();
    return RegisteredRouter{std::string(text.substr(0, space)), address.value()};
}

} // namespace Lagoonbank::FleetSync
