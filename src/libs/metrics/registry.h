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

/// A value that only increases. Handles are cheap to copy and valid as long as their registry.
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

/// The metrics of one process, as defined by its catalogue. Requesting a metric that the catalogue
/// does not contain, or contains as another kind, throws std::logic_error. Label values must come
/// from a bounded set. Look a handle up once and keep it.
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
    /// All metrics in the Prometheus text format; textType is its content type.
    std::string text() const;

    static constexpr std::string_view textType = "text/plain; version=0.0.4; charset=utf-8";

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Metrics
