#include "controller/cachemover.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace Lagoonbank::Controller {

namespace {

constexpr int httpOk = 200;

bool isSuccess(const Http::CallResult &result)
{
    return result.end == Http::CallEnd::Whole && result.status == httpOk;
}

/// Whether the name is one that routers assign, whose characters need no escaping in a URL. Chats
/// with other names are not moved.
bool isRouterChatName(const std::string &chat)
{
    return Routing::chatHashFromName(chat).has_value();
}

} // namespace

std::vector<std::string> hotChats(const std::vector<CacheEvent> &events, std::size_t maxChats)
{
    std::map<std::string, std::size_t> storedAt;
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (events[i].isStored)
            storedAt[events[i].chat] = i;
        else
            storedAt.erase(events[i].chat);
    }
    std::vector<std::pair<std::size_t, std::string>> order;
    for (const auto &[chat, index] : storedAt) {
        if (isRouterChatName(chat))
            order.emplace_back(index, chat);
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<std::string> chats;
    for (std::size_t i = 0; i < std::min(maxChats, order.size()); ++i)
        chats.push_back(order[i].second);
    return chats;
}

const CacheEngine *migrationTarget(const std::string &chat,
                                   const std::vector<CacheEngine> &candidates)
{
    const auto hash = Routing::chatHashFromName(chat);
    if (!hash)
        return nullptr;
    const Routing::RendezvousCost order(*hash);
    const CacheEngine *best = nullptr;
    double cost = std::numeric_limits<double>::infinity();
    for (const CacheEngine &engine : candidates) {
        if (order.improves(Routing::stableHash(engine.endpoint.value()), engine.capacity, &cost))
            best = &engine;
    }
    return best;
}

CacheMover::CacheMover(Options options)
    : m_options(std::move(options))
{ }

void CacheMover::start()
{
    m_deadline = m_options.timers->clock().now() + m_options.maxDuration;
    m_result.nextEventOffset = m_options.firstEventOffset;
    m_timer = m_options.timers->start(m_options.maxDuration,
                                      [self = shared_from_this()] { self->finish(); });
    if (m_options.candidates.empty()) {
        m_options.timers->start({}, [self = shared_from_this()] { self->finish(); });
        return;
    }
    readEvents(m_options.firstEventOffset);
}

Base::Duration CacheMover::timeLeft() const
{
    return std::max(m_deadline - m_options.timers->clock().now(), Base::Duration(1));
}

void CacheMover::call(const CacheEngine &engine, std::string method, std::string target,
                      std::string body, std::function<void(const Http::CallResult &)> ended)
{
    Http::Call call{.server = engine.address,
                    .method = std::move(method),
                    .target = std::move(target),
                    .body = std::move(body),
                    .totalTimeout = timeLeft()};
    if (!call.body.empty())
        call.headers.add("content-type", "application/json");
    m_options.calls.start(
        std::move(call), m_options.maySend,
        [self = shared_from_this(), ended = std::move(ended)](const Http::CallResult &result) {
            if (!self->m_isFinished)
                ended(result);
        });
}

void CacheMover::readEvents(std::uint64_t from)
{
    call(m_options.from, "GET", "/v1/cache/events?from=" + std::to_string(from), {},
         [this, from](const Http::CallResult &result) { handleEvents(from, result); });
}

void CacheMover::handleEvents(std::uint64_t from, const Http::CallResult &result)
{
    const auto page = readCacheEvents(result.body);
    if (!isSuccess(result) || !page)
        return finish();
    const CacheEventPage &read = page.value();
    m_events.insert(m_events.end(), read.events.begin(), read.events.end());
    m_result.nextEventOffset = std::max(from, read.next);
    const bool hasMore = !read.events.empty() && read.next > from;
    if (hasMore && ++m_pagesRead < m_options.maxEventPages)
        return readEvents(read.next);
    for (std::string &chat : hotChats(m_events, m_options.maxChats))
        m_chats.push_back(std::move(chat));
    startTransfers();
}

void CacheMover::startTransfers()
{
    while (!m_chats.empty() && m_runningTransfers < m_options.maxConcurrentTransfers) {
        const std::string chat = std::move(m_chats.front());
        m_chats.pop_front();
        ++m_runningTransfers;
        exportChat(chat);
    }
    if (m_chats.empty() && m_runningTransfers == 0)
        finish();
}

void CacheMover::exportChat(const std::string &chat)
{
    call(m_options.from, "GET", "/v1/cache/export?chat=" + chat, {},
         [this, chat](const Http::CallResult &result) {
             if (isSuccess(result))
                 importChat(chat, result.body);
             else
                 finishChat(false, 0);
         });
}

void CacheMover::importChat(const std::string &chat, const std::string &body)
{
    const CacheEngine *engine = migrationTarget(chat, m_options.candidates);
    call(*engine, "POST", "/v1/cache/import", body,
         [this, bytes = body.size()](const Http::CallResult &result) {
             finishChat(isSuccess(result), bytes);
         });
}

void CacheMover::finishChat(bool isMoved, std::size_t bytes)
{
    --m_runningTransfers;
    if (isMoved) {
        ++m_result.chats;
        m_result.bytes += bytes;
    } else {
        ++m_result.failures;
    }
    startTransfers();
}

void CacheMover::finish()
{
    if (std::exchange(m_isFinished, true))
        return;
    m_options.timers->cancel(m_timer);
    if (finished)
        finished(m_result);
}

} // namespace Lagoonbank::Controller
