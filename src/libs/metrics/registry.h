#pragma once

#include "metrics/catalogue.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus { // NOLINT(readability-identifier-naming)
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace Lagoonbank::Metrics {

using Labels = std::map<std::string, std::string>;

/// Only goes up. Handles are cheap to copy and live as long as their registry.
class Counter
{
public:
    explicit Counter(prometheus::Counter &native)
        : m_native(&native)
    { }
    void increment(double by = 1);
    double value() const;

private:
    prometheus::Counter *m_native;
};

class Gauge
{
public:
    explicit Gauge(prometheus::Gauge &native)
        : m_native(&native)
    { }
    void set(double value);
    void add(double by);
    double value() const;

private:
    prometheus::Gauge *m_native;
};

class Histogram
{
public:
    explicit Histogram(prometheus::Histogram &native)
        : m_native(&native)
    { }
    void observe(double value);

private:
    prometheus::Histogram *m_native;
};

/// The metrics of one process, all named by its catalogue. Asking for one that the catalogue does
/// not hold, or holds as another kind, is a programming error: std::logic_error. Label values must
/// come from a bounded set; look a handle up once and keep it.
class Registry
{
public:
    explicit Registry(Catalogue catalogue);
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    Counter counter(std::string_view name, const Labels &labels = {});
    Gauge gauge(std::string_view name, const Labels &labels = {});
    Histogram histogram(std::string_view name, const Labels &labels = {});
    /// In Prometheus' text format, which textType names.
    std::string text() const;

    static constexpr std::string_view textType = "text/plain; version=0.0.4; charset=utf-8";

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Metrics
