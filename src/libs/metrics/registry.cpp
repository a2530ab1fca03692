#include "metrics/registry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <stdexcept>
#include <vector>

namespace Lagoonbank::Metrics {

class Registry::Private
{
public:
    explicit Private(Catalogue metrics)
        : catalogue(metrics)
    { }

    const Metric &find(std::string_view name, Kind kind) const
    {
        for (const Metric &metric : catalogue) {
            if (metric.name == name && metric.kind == kind)
                return metric;
        }
        throw std::logic_error("no " + std::string(toString(kind)) + " \"" + std::string(name)
                               + "\" in the catalogue");
    }

    Catalogue catalogue;
    prometheus::Registry native;
};

Registry::Registry(Catalogue catalogue)
    : d(std::make_unique<Private>(catalogue))
{ }

Registry::~Registry() = default;

Counter Registry::counter(std::string_view name, const Labels &labels)
{
    const Metric &metric = d->find(name, Kind::Counter);
    auto &family = prometheus::BuildCounter()
                       .Name(std::string(metric.name))
                       .Help(std::string(metric.help))
                       .Register(d->native);
    return Counter(family.Add(labels));
}

Gauge Registry::gauge(std::string_view name, const Labels &labels)
{
    const Metric &metric = d->find(name, Kind::Gauge);
    auto &family = prometheus::BuildGauge()
                       .Name(std::string(metric.name))
                       .Help(std::string(metric.help))
                       .Register(d->native);
    return Gauge(family.Add(labels));
}

Histogram Registry::histogram(std::string_view name, const Labels &labels)
{
    const Metric &metric = d->find(name, Kind::Histogram);
    auto &family = prometheus::BuildHistogram()
                       .Name(std::string(metric.name))
                       .Help(std::string(metric.help))
                       .Register(d->native);
    return Histogram(
        family.Add(labels, std::vector<double>(metric.bounds.begin(), metric.bounds.end())));
}

std::string Registry::text() const
{
    return prometheus::TextSerializer().Serialize(d->native.Collect());
}

void Counter::increment(double by)
{
    m_native->Increment(by);
}

double Counter::value() const
{
    return m_native->Value();
}

void Gauge::set(double value)
{
    m_native->Set(value);
}

void Gauge::add(double by)
{
    m_native->Increment(by);
}

double Gauge::value() const
{
    return m_native->Value();
}

void Histogram::observe(double value)
{
    m_native->Observe(value);
}

} // namespace Lagoonbank::Metrics
