#pragma once

#include "base/ids.h"
#include "schema/generated/configuration.h"
#include "schema/objectreader.h"

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>

namespace Lagoonbank::Configuration {

/// Identifies one object of the configuration.
struct ObjectKey
{
    Schema::ObjectKind kind{};
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;
};

/// `kind/name`
std::ostream &operator<<(std::ostream &stream, const ObjectKey &key);
std::string toString(const ObjectKey &key);
ObjectKey keyOf(const Schema::ConfigurationObject &object);

/// The objects of the current configuration. Copies of a table share the objects.
class ObjectTable
{
public:
    using Object = std::shared_ptr<const Schema::ConfigurationObject>;

    void set(Schema::ConfigurationObject object);
    void remove(const ObjectKey &key);

    std::size_t size() const { return m_objects.size(); }
    const std::map<ObjectKey, Object> &objects() const { return m_objects; }
    const Schema::ConfigurationObject *find(const ObjectKey &key) const;
    bool contains(const ObjectKey &key) const { return find(key) != nullptr; }

    const Schema::Contract *contract(const Base::WorkspaceId &name) const;
    /// The contract that a bearer key belongs to. \a sha256 is the key's SHA-256 in lower-case
    /// hexadecimal.
    const Schema::Contract *contractOfKey(std::string_view sha256) const;
    const Schema::Service *service(const Base::ServiceId &name) const;
    const Schema::Model *model(const Base::ModelId &name) const;
    const Schema::Endpoint *endpoint(const Base::EndpointId &name) const;
    const Schema::DataCentre *dataCentre(const Base::DataCentreId &name) const;
    /// The policy named `default`, or the default values if there is none.
    const Schema::Policy &policy() const;

    /// Visits all objects of one type in the order of their names.
    template<typename T>
    void each(const std::function<void(const T &)> &visit) const
    {
        for (const auto &[key, object] : m_objects) {
            if (const T *value = std::get_if<T>(object.get()))
                visit(*value);
        }
    }

private:
    template<typename T>
    const T *findAs(Schema::ObjectKind kind, const std::string &name) const;
    void removeContractKeys(const ObjectKey &key);

    std::map<ObjectKey, Object> m_objects;
    absl::flat_hash_map<std::string, Object> m_contractOfKey;
};

} // namespace Lagoonbank::Configuration
