#include "auto/simulation/storelink.h"

#include <utility>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// The values of Platform::Store.
constexpr Base::Duration connectTimeout = milliseconds(400);
constexpr Base::Duration answerTimeout = milliseconds(700);
/// One-way delay to the store, which may be in another data centre.
constexpr Base::Duration minDelay = milliseconds(1);
constexpr Base::Duration maxDelay = milliseconds(12);
/// Maximum delay of a slow store; some answers arrive after the call has timed out.
constexpr Base::Duration maxSlowDelay = milliseconds(900);
constexpr int answerLossPercent = 50;

Errors::Error unavailable()
{
    return Errors::makeError(Errors::ErrorKind::LogUnavailable, "simulated");
}

} // namespace

StoreLink::~StoreLink()
{
    for (const auto &[id, call] : m_calls)
        m_options.timers->cancel(call.timeout);
}

KeyedLog::KeyedSource StoreLink::source(Topic topic)
{
    SimulatedStore *store = m_options.store;
    return {.readNewest =
                [this, topic, store](const std::string &after, auto read) {
                    return start({.topic = topic,
                                  .perform = [store, topic, after, read](bool) -> Answer {
                                      return [read, page = store->newest(topic, after)] {
                                          read(page);
                                      };
                                  },
                                  .fail = [read] { read(unavailable()); }});
                },
            .readTail =
                [this, topic, store](Base::LogOffset from, Base::Duration wait, auto read) {
                    return start({.topic = topic,
                                  .wait = wait,
                                  .perform = [store, topic, from, read](bool isWaitOver) -> Answer {
                                      auto page = store->tail(topic, from);
                                      if (!page && isWaitOver)
                                          page = store->emptyTail(topic);
                                      if (!page)
                                          return nullptr;
                                      return [read, page = *page] { read(page); };
                                  },
                                  .fail = [read] { read(unavailable()); }});
                },
            .cancel = [this](KeyedLog::ReadId read) { cancel(read.value()); }};
}

KeyedLog::KeyedWrite StoreLink::write(Topic topic)
{
    SimulatedStore *store = m_options.store;
    return [this, topic, store](const std::string &key, const std::string &value, auto written) {
        start({.topic = topic,
               .perform = [store, topic, key, value, written](bool) -> Answer {
                   store->append(topic, key, value);
                   return [written] { written(boost::outcome_v2::success()); };
               },
               .fail = [written] { written(unavailable()); }});
    };
}

void StoreLink::wake(Topic topic)
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, call] : m_calls) {
        if (call.isWaiting && call.topic == topic)
            waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting)
        arrive(id, false);
}

KeyedLog::ReadId StoreLink::start(Call call)
{
    const std::uint64_t id = ++m_lastId;
    const Base::Duration timeout =
        m_usesConnectTimeout && isSilent() ? connectTimeout : call.wait + answerTimeout;
    call.timeout = m_options.timers->start(timeout, [this, id] { finish(id, false, nullptr); });
    m_calls.emplace(id, std::move(call));
    after(m_random.between(minDelay, maxDelay), [this, id] { arrive(id, false); });
    return KeyedLog::ReadId(id);
}

void StoreLink::cancel(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    m_options.timers->cancel(found->second.timeout);
    m_calls.erase(found);
}

void StoreLink::arrive(std::uint64_t id, bool isWaitOver)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || isSilent())
        return;
    Call &call = found->second;
    if (isWaitOver && !call.isWaiting)
        return;
    if (isRefusing()) {
        call.isWaiting = false;
        reply(id, nullptr);
        return;
    }
    Answer answer = call.perform(isWaitOver || call.wait == Base::Duration::zero());
    if (answer) {
        answer = [this, era = m_options.store->era(), answer = std::move(answer)] {
            m_options.answeredInEra(era);
            answer();
        };
    }
    const bool isFirst = !std::exchange(call.isWaiting, !answer);
    if (answer)
        reply(id, std::move(answer));
    else if (isFirst)
        after(call.wait, [this, id] { arrive(id, true); });
}

void StoreLink::reply(std::uint64_t id, Answer answer)
{
    const bool isLossy =
        m_options.sharedFaults->activeAnswerLosses + m_options.routerFaults->activeAnswerLosses > 0;
    if (isLossy && m_random.chance(answerLossPercent))
        return;
    const bool isSlow =
        m_options.sharedFaults->activeSlowdowns + m_options.routerFaults->activeSlowdowns > 0;
    const Base::Duration delay = m_random.between(minDelay, isSlow ? maxSlowDelay : maxDelay);
    after(delay, [this, id, answer = std::move(answer)] {
        if (!isSilent())
            m_options.post([this, id, answer] { finish(id, true, answer); });
    });
}

void StoreLink::finish(std::uint64_t id, bool isAnswered, const Answer &answer)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Answer fail = found->second.fail;
    cancel(id);
    m_usesConnectTimeout = !isAnswered;
    if (answer)
        answer();
    else
        fail();
}

void StoreLink::after(Base::Duration delay, std::function<void()> step)
{
    m_options.worldTimers->start(
        delay, [step = std::move(step), isAlive = std::weak_ptr<bool>(m_isAlive)] {
            if (!isAlive.expired())
                step();
        });
}

} // namespace Simulation
