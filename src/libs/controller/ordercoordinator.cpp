#include "controller/ordercoordinator.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Controller {

namespace {

constexpr Base::Duration tickInterval = std::chrono::milliseconds(100);
/// Interval between state checks of an engine that loads weights.
constexpr Base::Duration loadingCheckInterval = std::chrono::seconds(1);
/// Delay before the next request to the weight store after a failure.
constexpr Base::Duration weightsRetryDelay = std::chrono::seconds(5);
constexpr int httpOk = 200;
constexpr std::size_t maxAnswerBytes = 64 * 1024;
/// Cost of a state check: request, acknowledgements of the answer, and headers.
constexpr std::size_t bytesPerStatusCheck = 600;

} // namespace

OrderCoordinator::OrderCoordinator(Options options)
    : m_options(std::move(options))
    , m_weightLoads(m_options.weightLoads)
{ }

OrderCoordinator::~OrderCoordinator()
{
    *m_alive = false;
    m_options.timers->cancel(m_timer);
}

void OrderCoordinator::start()
{
    tick();
}

void OrderCoordinator::setTargets(const std::vector<OrderTarget> &targets)
{
    std::set<Base::EndpointId> targetEndpoints;
    for (const OrderTarget &target : targets) {
        targetEndpoints.insert(target.endpoint);
        Entry &entry = m_entries[target.endpoint];
        if (entry.target == target)
            continue;
        entry.target = target;
        ++entry.generation;
        entry.isConverged = false;
        entry.nextCheckAt = now();
        if (target.desired.draining.value_or(false))
            continue;
        entry.isCacheMoved = entry.isRemainingCacheMoved = entry.isDrained = false;
    }
    std::erase_if(m_entries,
                  [&](const auto &entry) { return !targetEndpoints.contains(entry.first); });
    std::erase_if(m_loading,
                  [&](const auto &endpoint) { return !targetEndpoints.contains(endpoint); });
}

void OrderCoordinator::leaseGained()
{
    for (auto &[endpoint, entry] : m_entries) {
        entry.isConverged = false;
        entry.nextCheckAt = now();
    }
}

std::size_t OrderCoordinator::pending() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &entry) { return !entry.second.isConverged; }));
}

void OrderCoordinator::tick()
{
    m_timer = m_options.timers->start(tickInterval, [this] { tick(); });
    if (m_isStopped)
        return;
    auto running = static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto &entry) { return entry.second.isBusy; }));
    for (auto &[endpoint, entry] : m_entries) {
        const bool isDue = !entry.isBusy && now() >= entry.nextCheckAt;
        if (!isDue || !m_options.mayOrder(entry.target.checksFencing))
            continue;
        if (running >= m_options.maxConcurrentEngines
            || !m_options.takeFromBudget(bytesPerStatusCheck))
            return;
        ++running;
        readState(entry);
    }
}

Http::Call OrderCoordinator::makeCall(const Entry &entry) const
{
    // An order without an answer by this timeout counts as lost. It can still take effect until
    // longestOrder has passed.
    const Base::Duration timeout = m_options.longestOrder / 2;
    return {.server = entry.target.address,
            .connectTimeout = std::min<Base::Duration>(timeout, std::chrono::seconds(1)),
            .headTimeout = timeout,
            .progressTimeout = timeout,
            .totalTimeout = timeout,
            .maxBodyBytes = maxAnswerBytes};
}

void OrderCoordinator::readState(Entry &entry)
{
    entry.isBusy = true;
    Http::Call call = makeCall(entry);
    call.target = "/v1/state";
    const Ticket ticket{.endpoint = entry.target.endpoint, .generation = entry.generation};
    m_options.calls.start(
        std::move(call), [] { return true; },
        [this, alive = m_alive, ticket](const Http::CallResult &result) {
            if (*alive)
                stateRead(ticket, result);
        });
}

OrderCoordinator::Entry *OrderCoordinator::finishCall(const Ticket &ticket)
{
    const auto found = m_entries.find(ticket.endpoint);
    if (found == m_entries.end())
        return nullptr;
    Entry &entry = found->second;
    entry.isBusy = false;
    if (entry.generation == ticket.generation)
        return &entry;
    entry.nextCheckAt = now();
    return nullptr;
}

void OrderCoordinator::checkAgain(Entry &entry, Base::Duration delay)
{
    entry.nextCheckAt = now() + delay;
}

void OrderCoordinator::reportFailure(const Entry &entry, const std::string &reason) const
{
    if (failed)
        failed(entry.target, reason);
}

void OrderCoordinator::stateRead(const Ticket &ticket, const Http::CallResult &result)
{
    Entry *entry = finishCall(ticket);
    if (!entry)
        return;
    checkAgain(*entry, m_options.retryPeriod);
    const auto seen = readStateAnswer(result.body);
    if (result.end != Http::CallEnd::Whole || result.status != httpOk || !seen) {
        entry->isConverged = false;
        // The engine may be gone; other engines of the model must not wait for it to load.
        m_loading.erase(ticket.endpoint);
        m_weightLoads.finished(ticket.endpoint);
        return reportFailure(*entry, "could not read the state");
    }
    const auto order = Orders::planOrder(ticket.endpoint, entry->target.desired,
                                         seen.value().settings, entry->target.revision);
    if (order)
        reconcile(*entry, *order, seen.value());
    else
        converged(*entry, seen.value().isLoading);
}

void OrderCoordinator::converged(Entry &entry, bool isLoading)
{
    if (isLoading) {
        m_loading.insert(entry.target.endpoint);
        return checkAgain(entry, loadingCheckInterval);
    }
    m_loading.erase(entry.target.endpoint);
    m_weightLoads.finished(entry.target.endpoint);
    entry.weightsOrderId.clear();
    entry.isConverged = true;
    checkAgain(entry, m_options.checkPeriod);
    if (std::exchange(entry.wasOrdered, false) && orderDone)
        orderDone(entry.target);
    if (entry.target.desired.draining.value_or(false) && !entry.isDrained)
        readLoad(entry);
}

void OrderCoordinator::reconcile(Entry &entry, const Orders::Order &order, const StateAnswer &seen)
{
    entry.isConverged = false;
    if (m_isStopped)
        return;
    if (order.set.draining.value_or(false) && !entry.isCacheMoved)
        return moveCache(entry);
    if (order.loadsWeights && entry.weightsOrderId != order.id)
        return fetchWeights(entry, order, seen);
    sendOrder(entry, order);
}

void OrderCoordinator::moveCache(Entry &entry)
{
    entry.isBusy = true;
    const OrderTarget &target = entry.target;
    const auto mover = std::make_shared<CacheMover>(
        CacheMover::Options{.timers = m_options.timers,
                            .calls = m_options.calls,
                            .maySend =
                                [this, alive = m_alive, checks = target.checksFencing] {
                                    return *alive && m_options.mayOrder(checks).has_value();
                                },
                            .from = {target.endpoint, target.address, target.capacity},
                            .candidates = migrationCandidates(entry),
                            .firstEventOffset = entry.nextCacheEventOffset,
                            .maxChats = m_options.maxMovedChats,
                            .maxDuration = m_options.maxMoveDuration});
    const Ticket ticket{.endpoint = target.endpoint, .generation = entry.generation};
    mover->finished = [this, alive = m_alive, ticket](const CacheMover::MoveResult &moved) {
        if (!*alive)
            return;
        if (Entry *current = finishCall(ticket))
            handleCacheMoved(*current, moved);
    };
    mover->start();
}

void OrderCoordinator::handleCacheMoved(Entry &entry, const CacheMover::MoveResult &moved)
{
    entry.isRemainingCacheMoved = std::exchange(entry.isCacheMoved, true);
    entry.nextCacheEventOffset = moved.nextEventOffset;
    // The state may have changed during the move, so read it again.
    checkAgain(entry, {});
    if (cacheMoved)
        cacheMoved(entry.target, moved);
}

void OrderCoordinator::readLoad(Entry &entry)
{
    entry.isBusy = true;
    Http::Call call = makeCall(entry);
    call.target = "/v1/load";
    const Ticket ticket{.endpoint = entry.target.endpoint, .generation = entry.generation};
    m_options.calls.start(
        std::move(call), [] { return true; },
        [this, alive = m_alive, ticket](const Http::CallResult &result) {
            if (*alive)
                loadRead(ticket, result);
        });
}

void OrderCoordinator::loadRead(const Ticket &ticket, const Http::CallResult &result)
{
    Entry *entry = finishCall(ticket);
    if (!entry)
        return;
    checkAgain(*entry, m_options.retryPeriod);
    const auto load = readLoadAnswer(result.body);
    if (m_isStopped || result.end != Http::CallEnd::Whole || result.status != httpOk || !load)
        return;
    const std::size_t inFlight = load.value().running + load.value().queued;
    // Requests that were in flight when the drain order was sent may have added chats to the cache.
    const bool hasRemainingChats = inFlight == 0 && !entry->isRemainingCacheMoved;
    const Orders::DrainView view{
        .isDraining = true, .chatsToExport = hasRemainingChats ? 1U : 0U, .inFlight = inFlight};
    // The cache mover enforces its own time limit.
    const auto step = Orders::nextDrainStep(view, Base::Duration::max());
    if (step == Orders::DrainStep::ExportCache)
        return moveCache(*entry);
    if (step != Orders::DrainStep::Done)
        return;
    entry->isDrained = true;
    checkAgain(*entry, m_options.checkPeriod);
    if (drained)
        drained(entry->target);
}

std::vector<CacheEngine> OrderCoordinator::migrationCandidates(const Entry &entry) const
{
    std::vector<CacheEngine> candidates;
    for (const auto &[endpoint, other] : m_entries) {
        const bool isLeaving = other.target.desired.draining.value_or(false);
        if (endpoint != entry.target.endpoint && !isLeaving
            && other.target.model == entry.target.model)
            candidates.push_back({endpoint, other.target.address, other.target.capacity});
    }
    return candidates;
}

bool OrderCoordinator::isModelLoading(const Entry &entry) const
{
    return std::any_of(m_loading.begin(), m_loading.end(), [&](const Base::EndpointId &loading) {
        return loading != entry.target.endpoint
            && m_entries.at(loading).target.model == entry.target.model;
    });
}

void OrderCoordinator::fetchWeights(Entry &entry, const Orders::Order &order,
                                    const StateAnswer &seen)
{
    // An engine accepts no requests while it loads weights, so at most one engine of a model loads
    // at a time.
    if (isModelLoading(entry) || !m_weightLoads.mayStart(now()))
        return;
    const Base::EndpointId endpoint = entry.target.endpoint;
    m_weightLoads.started(endpoint, now());
    m_loading.insert(endpoint);
    const auto &version = order.set.version ? order.set.version : seen.settings.version;
    if (!version || version->empty()) {
        entry.weightsOrderId = order.id;
        return checkAgain(entry, {});
    }
    entry.isBusy = true;
    const Ticket ticket{.endpoint = endpoint, .generation = entry.generation};
    m_options.fetchWeights(
        entry.target.model, *version,
        [this, alive = m_alive, ticket, id = order.id](const Errors::Result<Base::Bytes> &size) {
            if (!*alive)
                return;
            if (!size) {
                m_weightLoads.noteStoreRefusal(ticket.endpoint, weightsRetryDelay, now());
                m_loading.erase(ticket.endpoint);
            }
            Entry *current = finishCall(ticket);
            if (!current)
                return;
            checkAgain(*current, size ? Base::Duration() : m_options.retryPeriod);
            if (size)
                current->weightsOrderId = id;
            else
                reportFailure(*current, "could not fetch weights from the weight store");
        });
}

void OrderCoordinator::sendOrder(Entry &entry, const Orders::Order &order)
{
    const bool checksFencing = entry.target.checksFencing;
    const auto fencing = m_options.mayOrder(checksFencing);
    if (!fencing)
        return;
    entry.isBusy = true;
    entry.wasOrdered = true;
    ++m_ordersInFlight;
    Http::Call call = makeCall(entry);
    call.method = "POST";
    call.target = "/v1/order";
    call.headers.add("content-type", "application/json");
    call.body = orderBody(order, *fencing);
    if (orderSent)
        orderSent(entry.target, order, *fencing);
    const Ticket ticket{.endpoint = entry.target.endpoint, .generation = entry.generation};
    m_options.calls.start(
        std::move(call),
        [this, alive = m_alive, checksFencing, fencing] {
            return *alive && m_options.mayOrder(checksFencing) == fencing;
        },
        [this, alive = m_alive, ticket](const Http::CallResult &result) {
            if (*alive)
                orderEnded(ticket, result);
        });
}

void OrderCoordinator::orderEnded(const Ticket &ticket, const Http::CallResult &result)
{
    --m_ordersInFlight;
    Entry *entry = finishCall(ticket);
    if (!entry)
        return;
    const bool isAccepted = result.end == Http::CallEnd::Whole && result.status == httpOk;
    // Whether or not an answer arrived, the state shows what remains to be ordered.
    checkAgain(*entry, isAccepted ? Base::Duration() : m_options.retryPeriod);
    if (result.end != Http::CallEnd::Whole)
        return reportFailure(*entry, "an order received no answer");
    if (!isAccepted && orderRefused)
        orderRefused(entry->target, result.status);
}

} // namespace Lagoonbank::Controller
