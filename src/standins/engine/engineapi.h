#pragma once

#include "http/server.h"
#include "runtime/timerqueue.h"
#include "standins/engine/enginemodel.h"
#include "standins/engine/enginestreams.h"
#include "standins/engine/orders.h"
#include "standins/support/answers.h"
#include "standins/support/faults.h"

#include <string>

namespace Lagoonbank::Standins {

/// The HTTP interface of the engine stand-in; needs no sockets, only timers.
class EngineApi
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::string name;
        EngineModel::Options model;
        Orders::Options orders;
    };

    explicit EngineApi(const Options &options);

    void handle(const Http::Request &request, const ResponderPtr &responder);
    /// Takes no new work from now on and gives up the exchanges that would never end.
    void leave();
    bool isIdle() const { return m_model.isIdle() && m_streams.isEmpty(); }

private:
    void generate(const Http::Request &request, const ResponderPtr &responder);
    void runGeneration(const Generation &generation, const RequestFaults &faults, std::int64_t from,
                       const ResponderPtr &responder);
    void resume(const Http::Request &request, const ResponderPtr &responder);
    void cancel(const Http::Request &request, Http::Responder &responder);
    void order(const Http::Request &request, Http::Responder &responder);
    void orderFaults(const Http::Request &request, Http::Responder &responder);
    void sendLoad(Http::Responder &responder);
    void sendState(Http::Responder &responder);
    void sendLedger(const Http::Request &request, Http::Responder &responder);
    void sendCacheEvents(const Http::Request &request, Http::Responder &responder);
    void exportChat(const Http::Request &request, Http::Responder &responder);
    void importChat(const Http::Request &request, Http::Responder &responder);

    /// Whether one of the faults has dealt with the request before it could run.
    bool stopBeforeRun(const RequestFaults &faults, const ResponderPtr &responder);
    /// Why a new request for \a model can't run now; empty if it can.
    std::string refusalReason(const std::string &model, const RequestFaults &faults) const;
    void refuse(Http::Responder &responder, int status, std::string_view why);
    EngineStreams::Stream makeStream(RunNumber run, const Base::RequestId &requestId,
                                     std::int64_t from, const RequestFaults &faults,
                                     const ResponderPtr &responder);
    bool isDraining() const { return m_leaving || m_orders.settings().draining; }
    LoadFigures load() const;
    void armStep();

    Options m_options;
    const Runtime::Clock &m_clock;
    Base::Incarnation m_incarnation;
    FaultSet m_faults;
    Orders m_orders;
    EngineModel m_model;
    EngineStreams m_streams;
    Base::RequestId m_otherId; ///< Of the request before, for answers that are mixed up.
    bool m_stepArmed = false;
    bool m_leaving = false;
};

} // namespace Lagoonbank::Standins
