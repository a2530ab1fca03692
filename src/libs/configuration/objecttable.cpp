#include "configuration/objecttable.h"

#include <sstream>

namespace Lagoonbank::Configuration {

using Schema::ObjectKind;

std::ostream &operator<<(std::ostream &stream, const ObjectKey &key)
{
    return stream << key.kind << '/' << key.name;
}

std::string toString(const ObjectKey &key)
{
    std::ostringstream text;
    text << key;
    return text.str();
}

ObjectKey keyOf(const Schema::ConfigurationObject &object)
{
    return {Schema::kindOf(object), Schema::nameOf(object)};
}

void ObjectTable::set(Schema::ConfigurationObject object)
{
    const ObjectKey key = keyOf(object);
    removeContractKeys(key);
    const auto shared = std::make_shared<const Schema::ConfigurationObject>(std::move(object));
    if (const auto *contract = std::get_if<Schema::Contract>(shared.get())) {
        for (const std::string &hash : contract->keys)
            m_contractOfKey[hash] = shared;
    }
    m_objects[key] = shared;
}

void ObjectTable::remove(const ObjectKey &key)
{
    removeContractKeys(key);
    m_objects.erase(key);
}

void ObjectTable::removeContractKeys(const ObjectKey &key)
{
    const auto it = m_objects.find(key);
    if (it == m_objects.end() || key.kind != ObjectKind::Contract)
        return;
    for (const std::string &hash : std::get<Schema::Contract>(*it->second).keys) {
        const auto owner = m_contractOfKey.find(hash);
        if (owner != m_contractOfKey.end() && owner->second == it->second)
            m_contractOfKey.erase(owner);
    }
}

const Schema::ConfigurationObject *ObjectTable::find(const ObjectKey &key) const
{
    const auto it = m_objects.find(key);
    return it == m_objects.end() ? nullptr : it->second.get();
}

template<typename T>
const T *ObjectTable::findAs(ObjectKind kind, const std::string &name) const
{
    const Schema::ConfigurationObject *object = find({kind, name});
    return object ? std::get_if<T>(object) : nullptr;
}

const Schema::Contract *ObjectTable::contract(const Base::WorkspaceId &name) const
{
    return findAs<Schema::Contract>(ObjectKind::Contract, name.value());
}

const Schema::Contract *ObjectTable::contractOfKey(std::string_view sha256) const
{
    const auto it = m_contractOfKey.find(absl::string_view(sha256.data(), sha256.size()));
    return it == m_contractOfKey.end() ? nullptr : std::get_if<Schema::Contract>(it->second.get());
}

const Schema::Service *ObjectTable::service(const Base::ServiceId &name) const
{
    return findAs<Schema::Service>(ObjectKind::Service, name.value());
}

const Schema::Model *ObjectTable::model(const Base::ModelId &name) const
{
    return findAs<Schema::Model>(ObjectKind::Model, name.value());
}

const Schema::Endpoint *ObjectTable::endpoint(const Base::EndpointId &name) const
{
    return findAs<Schema::Endpoint>(ObjectKind::Endpoint, name.value());
}

const Schema::DataCentre *ObjectTable::dataCentre(const Base::DataCentreId &name) const
{
    return findAs<Schema::DataCentre>(ObjectKind::DataCentre, name.value());
}

const Schema::Policy &ObjectTable::policy() const
{
    static const Schema::Policy defaults{.name = "default"};
    const auto *policy = findAs<Schema::Policy>(ObjectKind::Policy, defaults.name);
    return policy ? *policy : defaults;
}

} // namespace Lagoonbank::Configuration
