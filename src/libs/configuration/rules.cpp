#include "configuration/rules.h"

#include <algorithm>
#include <tuple>

namespace Lagoonbank::Configuration {

using Schema::ObjectKind;
using Schema::SettingsErrors;

namespace {

/// Collects the errors of one object with the lines of the fields concerned.
class Findings
{
public:
    explicit Findings(const Schema::Source &source)
        : m_source(source)
    { }

    void add(const std::string &field, const std::string &text)
    {
        const auto it = m_source.lines.find(field);
        const int line = it == m_source.lines.end() ? m_source.line : it->second;
        m_errors.push_back({m_source.file, line, field + ": " + text});
    }
    SettingsErrors take() { return std::move(m_errors); }

private:
    const Schema::Source &m_source;
    SettingsErrors m_errors;
};

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

void check(const Schema::Contract &contract, Findings &findings)
{
    if (!contract.priorities.contains(contract.defaultPriority)) {
        findings.add("default_priority",
                     quoted(contract.defaultPriority)
                         + " is not among priorities; give one of their names");
    }
    if (contract.defaultDeadline > contract.maxDeadline)
        findings.add("default_deadline_ms", "is above max_deadline_ms; give at most that");
    for (const Schema::NonIdempotentCalls &calls : contract.nonIdempotent) {
        if (std::ranges::find(contract.services, calls.service) == contract.services.end()) {
            findings.add("non_idempotent",
                         quoted(calls.service.value()) + " is not among services; add it there");
        }
    }
    std::vector<std::string> keys = contract.keys;
    std::ranges::sort(keys);
    if (std::ranges::adjacent_find(keys) != keys.end())
        findings.add("keys", "one hash is given twice; keep one");
}

void check(const Schema::Model &model, Findings &findings)
{
    if (!model.servingVersion) {
        if (model.servingAdapter)
            findings.add("serving_adapter", "needs serving_version; add it");
        return;
    }
    const auto version =
        std::ranges::find(model.versions, *model.servingVersion, &Schema::ModelVersion::version);
    if (version == model.versions.end()) {
        findings.add("serving_version",
                     quoted(*model.servingVersion) + " is not among versions; add it there");
        return;
    }
    const auto &adapters = version->adapters;
    if (model.servingAdapter
        && std::ranges::find(adapters, *model.servingAdapter) == adapters.end()) {
        findings.add("serving_adapter",
                     quoted(*model.servingAdapter)
                         + " is not among the version's adapters; add it there");
    }
}

void check(const Schema::Endpoint &endpoint, Findings &findings)
{
    if (endpoint.type == Schema::EndpointType::Engine) {
        if (!endpoint.model)
            findings.add("model", "missing; name the model that the engine serves");
        if (endpoint.service)
            findings.add("service", "is for endpoints of type service; remove it");
        return;
    }
    if (!endpoint.service)
        findings.add("service", "missing; name the service that the endpoint serves");
    if (endpoint.model)
        findings.add("model", "is for endpoints of type engine; remove it");
}

void check(const Schema::Service & /*service*/, Findings & /*findings*/) { }
void check(const Schema::DataCentre & /*dataCentre*/, Findings & /*findings*/) { }
void check(const Schema::Policy & /*policy*/, Findings & /*findings*/) { }

/// A reference to another object, and the field that contains it.
struct Reference
{
    std::string field;
    ObjectKey target;
};

std::vector<Reference> referencesOf(const Schema::ConfigurationObject &object)
{
    std::vector<Reference> references;
    if (const auto *contract = std::get_if<Schema::Contract>(&object)) {
        for (const Base::ModelId &model : contract->models)
            references.push_back({"models", {ObjectKind::Model, model.value()}});
        for (const Base::ServiceId &service : contract->services)
            references.push_back({"services", {ObjectKind::Service, service.value()}});
    } else if (const auto *endpoint = std::get_if<Schema::Endpoint>(&object)) {
        references.push_back(
            {"data_centre", {ObjectKind::DataCentre, endpoint->dataCentre.value()}});
        if (endpoint->model)
            references.push_back({"model", {ObjectKind::Model, endpoint->model->value()}});
        if (endpoint->service)
            references.push_back({"service", {ObjectKind::Service, endpoint->service->value()}});
    }
    return references;
}

void checkKeys(const Schema::Contract &contract, const ObjectTable &table, Findings &findings)
{
    for (const std::string &hash : contract.keys) {
        const Schema::Contract *other = table.contractOfKey(hash);
        if (other && other->name != contract.name) {
            findings.add("keys",
                         "a bearer key belongs to contract " + quoted(other->name.value())
                             + " already; give each contract keys of its own");
        }
    }
}

template<typename T>
void addUsers(const ObjectKey &key, const ObjectTable &table, SettingsErrors &errors)
{
    table.each<T>([&](const T &user) {
        for (const Reference &reference : referencesOf(user)) {
            if (reference.target != key)
                continue;
            const Schema::Source &source = user.source;
            const auto line = source.lines.find(reference.field);
            errors.push_back({source.file, line == source.lines.end() ? source.line : line->second,
                              reference.field + ": names " + toString(key)
                                  + ", which cannot be removed before this"});
        }
    });
}

} // namespace

SettingsErrors checkObject(const Schema::ConfigurationObject &object)
{
    Findings findings(Schema::sourceOf(object));
    std::visit([&](const auto &value) { check(value, findings); }, object);
    return findings.take();
}

SettingsErrors checkReferences(const Schema::ConfigurationObject &object, const ObjectTable &table)
{
    Findings findings(Schema::sourceOf(object));
    for (const Reference &reference : referencesOf(object)) {
        if (!table.contains(reference.target)) {
            findings.add(reference.field,
                         "there is no " + toString(reference.target)
                             + "; publish it first or correct the name");
        }
    }
    if (const auto *contract = std::get_if<Schema::Contract>(&object))
        checkKeys(*contract, table, findings);
    return findings.take();
}

SettingsErrors checkRemoval(const ObjectKey &key, const ObjectTable &table)
{
    SettingsErrors errors;
    addUsers<Schema::Contract>(key, table, errors);
    addUsers<Schema::Endpoint>(key, table, errors);
    return errors;
}

SettingsErrors checkAll(const std::vector<Schema::ObjectDocument> &documents)
{
    SettingsErrors errors;
    const auto add = [&errors](SettingsErrors found) {
        std::ranges::move(found, std::back_inserter(errors));
    };
    ObjectTable all;
    ObjectTable earlier;
    for (const Schema::ObjectDocument &document : documents) {
        const ObjectKey key = keyOf(document.object);
        const Schema::Source &source = Schema::sourceOf(document.object);
        if (const Schema::ConfigurationObject *first = all.find(key)) {
            errors.push_back({source.file, source.line,
                              toString(key) + " is given twice, first at "
                                  + Schema::sourceOf(*first).locationOf("name") + "; keep one"});
            continue;
        }
        all.set(document.object);
    }
    for (const Schema::ObjectDocument &document : documents) {
        add(checkObject(document.object));
        add(checkReferences(document.object, all));
        if (const auto *contract = std::get_if<Schema::Contract>(&document.object)) {
            Findings findings(contract->source);
            checkKeys(*contract, earlier, findings);
            add(findings.take());
            earlier.set(*contract);
        }
    }
    std::ranges::sort(
        errors, {}, [](const auto &error) { return std::tie(error.file, error.line, error.text); });
    errors.erase(std::unique(errors.begin(), errors.end()), errors.end());
    return errors;
}

std::vector<ObjectKind> publishOrder()
{
    return {ObjectKind::DataCentre, ObjectKind::Policy,   ObjectKind::Model,
            ObjectKind::Service,    ObjectKind::Contract, ObjectKind::Endpoint};
}

Schema::ReadResult<ObjectTable> makeTable(const std::vector<Schema::ObjectDocument> &documents)
{
    SettingsErrors errors = checkAll(documents);
    if (!errors.empty())
        return errors;
    ObjectTable table;
    for (const Schema::ObjectDocument &document : documents)
        table.set(document.object);
    return table;
}

} // namespace Lagoonbank::Configuration
