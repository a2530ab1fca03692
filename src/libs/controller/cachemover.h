#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "controller/endpointanswers.h"
#include "controller/endpointcalls.h"
#include "runtime/timerqueue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::Controller {

/// An engine that can store cached prefixes.
struct CacheEngine
{
    Base::EndpointId endpoint;
    Runtime::SocketAddress address;
    double capacity = 1;
};

/// Returns at most \a maxChats chats whose prefixes the engine caches according to its events, the
/// most recently stored first.
std::vector<std::string> hotChats(const std::vector<CacheEvent> &events, std::size_t maxChats);

/// Returns the engine among \a candidates to which routers send the chat once its current engine is
/// gone: the first in rendezvous order. Null if there are no candidates.
const CacheEngine *migrationTarget(const std::string &chat,
                                   const std::vector<CacheEngine> &candidates);

/// Moves the KV cache of an engine's hot chats to other engines of the same model. Both the number
/// of chats and the duration are limited, because the engine does not drain until the move ends.
class CacheMover : public std::enable_shared_from_this<CacheMover>
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        EndpointCalls calls;
        EndpointCalls::MaySend maySend;
        CacheEngine from; ///< Engine whose caches are moved.
        std::vector<CacheEngine> candidates; ///< Possible destinations; does not contain \a from.
        std::uint64_t firstEventOffset = 0; ///< Offset of the first cache event to read.
        std::size_t maxChats = 64; ///< Maximum number of chats to move.
        std::size_t maxConcurrentTransfers = 4;
        std::size_t maxEventPages = 64; ///< Maximum number of pages of cache events to read.
        /// Time after which the move ends, even if some chats were not moved.
        Base::Duration maxDuration = std::chrono::seconds(2);
    };
    struct MoveResult
    {
        std::size_t chats = 0; ///< Number of chats that were moved.
        std::size_t failures = 0; ///< Number of chats that could not be moved.
        std::uint64_t bytes = 0; ///< Size of the moved cache contents.
        std::uint64_t nextEventOffset = 0; ///< Offset at which a later move continues reading.
    };

    explicit CacheMover(Options options);

    /// Called once, when all chats are processed or \a maxDuration has passed.
    std::function<void(const MoveResult &moved)> finished;
    void start();

private:
    void readEvents(std::uint64_t from);
    void handleEvents(std::uint64_t from, const Http::CallResult &result);
    void startTransfers();
    void exportChat(const std::string &chat);
    void importChat(const std::string &chat, const std::string &body);
    void finishChat(bool isMoved, std::size_t bytes);
    void finish();
    void call(const CacheEngine &engine, std::string method, std::string target, std::string body,
              std::function<void(const Http::CallResult &)> ended);
    Base::Duration timeLeft() const;

    Options m_options;
    Base::MonoTime m_deadline;
    std::vector<CacheEvent> m_events;
    std::size_t m_pagesRead = 0;
    std::deque<std::string> m_chats; ///< Chats whose transfers have not started.
    std::size_t m_runningTransfers = 0;
    MoveResult m_result;
    bool m_isFinished = false;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Controller
