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

/// HTTP interface of the engine stand-in. Depends on timers only, not on sockets.
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
    /// Refuses new requests from now on and aborts those that would never be answered.
    void startDraining();
    bool isIdle() const { return m_model.isIdle() && m_streams.isEmpty(); }

private:
    void generate(const Http::Request &request, const ResponderPtr &responder);
    void runGeneration(const Generation &generation, const RequestFaults &faults, std::int64_t from,
                       const ResponderPtr &responder);
    void resume(const Http::Request &request, const ResponderPtr &responder);
    void cancel(const Http::Request &request, Http::Responder &responder);
    void order(const Http::Request &request, Http::Responder &responder);
    void injectFault(const Http::Request &request, Http::Responder &responder);
    void sendLoad(Http::Responder &responder);
    void sendState(Http::Responder &responder);
    void sendLedger(const Http::Request &request, Http::Responder &responder);
    void sendCacheEvents(const Http::Request &request, Http::Responder &responder);
    void exportChat(const Http::Request &request, Http::Responder &responder);
    void importChat(const Http::Request &request, Http::Responder &responder);

    /// Applies a fault that keeps the request from running; returns whether there was one.
    bool applyPreRunFault(const RequestFaults &faults, const ResponderPtr &responder);
    /// Reason to refuse a new request for \a model; empty if it can run now.
    std::string refusalReason(const std::string &model, const RequestFaults &faults) const;
    void refuse(Http::Responder &responder, int status, std::string_view reason);
    EngineStreams::Stream makeStream(RunNumber run, const Base::RequestId &requestId,
                                     std::int64_t from, const RequestFaults &faults,
                                     const ResponderPtr &responder);
    bool isDraining() const { return m_isStopping || m_orders.settings().draining; }
    LoadFigures load() const;
    void scheduleStep();

    Options m_options;
    const Runtime::Clock &m_clock;
    Base::Incarnation m_incarnation;
    FaultSet m_faults;
    Orders m_orders;
    EngineModel m_model;
    EngineStreams m_streams;
    Base::RequestId m_previousRequestId; ///< Source of the content of crossed answers.
    bool m_isStepScheduled = false;
    bool m_isStopping = false;
};

} // namespace Lagoonbank::Standins
