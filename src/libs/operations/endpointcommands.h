#pragma once

#include "operations/changecommand.h"

namespace Lagoonbank::Operations {

/// `endpoint add FILE`: publishes endpoints that do not exist yet.
class EndpointAddCommand final : public ChangeCommand
{
public:
    EndpointAddCommand(const Context &context, std::string file);

protected:
    std::optional<Report> plan() override;

private:
    std::string m_file;
};

/// `endpoint drain NAME` and `endpoint undrain NAME`: publish an endpoint's new state.
class EndpointStateCommand final : public ChangeCommand
{
public:
    EndpointStateCommand(const Context &context, std::string name, Schema::EndpointState state);

protected:
    std::optional<Report> plan() override;

private:
    std::string m_name;
    Schema::EndpointState m_state;
};

} // namespace Lagoonbank::Operations
