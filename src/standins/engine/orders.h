#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runtime/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace Lagoonbank::Standins {

/// Engine settings that a controller's orders can change.
struct EngineSettings
{
    Base::ModelId model;
    std::string adapter;
    std::string version;
    std::string role;
    bool draining = false;
};

/// Order of a controller to change engine settings. Settings without a value stay unchanged.
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

/// Applies orders to the engine settings. Loading another model, adapter or version takes time.
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
    /// An order that was received.
    struct Record
    {
        Base::FencingNumber fencing;
        std::string orderId;
        Base::WallTime receivedAt;
        bool applied = false;
        bool stale = false; ///< Whether its fencing number was lower than the highest so far.
    };

    explicit Orders(Options options);

    /// Returns false, without changes, if `checkFencing` is set and the order is stale.
    bool apply(const Order &order);
    bool isLoading() const;
    const EngineSettings &settings() const { return m_settings; }
    Base::FencingNumber fencing() const { return m_fencing; }
    const std::deque<Record> &records() const { return m_records; }

private:
    void set(const Order &order);

    Options m_options;
    EngineSettings m_settings;
    Base::FencingNumber m_fencing; ///< Highest of all applied orders.
    Base::MonoTime m_loadingEndsAt;
    std::deque<Record> m_records;
};

} // namespace Lagoonbank::Standins
