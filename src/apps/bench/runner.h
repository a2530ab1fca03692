#pragma once

#include "balancer.h"
#include "eventplayer.h"
#include "experiment/report.h"
#include "fleetprobe.h"
#include "http/client.h"
#include "loadgenerator.h"
#include "runtime/loop.h"

#include <string>

namespace Lagoonbank::Bench {

/// Runs an experiment, from waiting for the routers to become ready to the report.
class Runner
{
public:
    struct Options
    {
        Experiment::Definition definition;
        std::string marksFile;
        std::string acceptancesFile;
        bool showProgress = false; ///< Shows a progress line on standard error.
    };

    explicit Runner(Options options);

    /// Runs the event loop until the report is complete.
    Errors::Result<Experiment::Report> run();

private:
    void waitForRouters(Base::Duration waited);
    void startLoad();
    void stopLoad();
    void collect();
    void makeReport();
    void showProgress();

    Options m_options;
    Runtime::Loop m_loop;
    Http::Client m_client;
    Balancer m_balancer;
    FleetProbe m_probe;
    EventPlayer m_events;
    LoadGenerator m_load;
    Experiment::Evidence m_evidence;
    Experiment::Report m_report;
    Base::MonoTime m_startedAt;
    bool m_isLoading = false;
    bool m_hasReport = false;
    std::string m_failure;
};

} // namespace Lagoonbank::Bench
