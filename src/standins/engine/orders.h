#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runtime/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace Lagoonbank::Standins {

/// What orders can set at an engine.
struct EngineSettings
{
    Base::ModelId model;
    std::string adapter;
    std::string version;
    std::string role;
    bool draining = false;
};

/// One order of a controller; what is empty stays as it is.
struct Order
{
    Base::FencingNumber fencing;
    std::string orderId;
    std::optional<Base::ModelId> model;
    std::optional<std::string> adapter;
    std::optional<std::string> version;
    std::optional<std::string> role;
    std::optional<bool> draining;
};

/// Keeps what orders have set. Setting another model, adapter or version takes time.
class Orders
{
public:
    struct Options
    {
        const Runtime::Clock *clock = nullptr;
        bool checkFencing = true;
        Base::Duration loadTime{};
        EngineSettings initial;
        std::size_t maxRecords = 1000;
    };
    /// One order as it came.
    struct Record
    {
        Base::FencingNumber fencing;
        std::string orderId;
        Base::WallTime time;
        bool applied = false;
        bool stale = false; ///< Its fencing number was older than one seen before.
    };

    explicit Orders(Options options);

    /// False for an order with an older fencing number, which changes nothing.
    bool apply(const Order &order);
    bool isLoading() const;
    const EngineSettings &settings() const { return m_settings; }
    Base::FencingNumber fencing() const { return m_fencing; }
    const std::deque<Record> &records() const { return m_records; }

private:
    void set(const Order &order);

    Options m_options;
    EngineSettings m_settings;
    Base::FencingNumber m_fencing;
    Base::MonoTime m_loadedAt;
    std::deque<Record> m_records;
};

} // namespace Lagoonbank::Standins
