#ifndef LACEWINGBEAM_FORWARDING_PEER_HPP
#define LACEWINGBEAM_FORWARDING_PEER_HPP

#include "core.hpp"

#include <string>

// Instances that handle requests for each other.
namespace lacewingbeam {

// Another instance, to which requests may be forwarded.
struct forwarding_peer {
    std::string address; // IP:port for callers
    incarnation id;
    std::string failure_domain;
};

} // namespace lacewingbeam

#endif
