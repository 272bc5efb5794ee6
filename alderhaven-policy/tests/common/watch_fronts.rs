//! The processes of a deployment whose nodes watch the store.

use alderhaven_policy::group_front::GroupFront;

/// Returns a front on each host, and a directory on the first host of each failure domain.
pub fn fronts_and_directories(domains: usize, hosts_per_domain: usize) -> Vec<GroupFront> {
    let process = |domain: usize, host: usize, suffix: &str| GroupFront {
        node: format!("host-{domain}-{host}{suffix}")
            .parse()
            .expect("a valid node name"),
        host: format!("host-{domain}-{host}")
            .parse()
            .expect("a valid host name"),
        domain: format!("domain-{domain}")
            .parse()
            .expect("a valid failure domain"),
    };
    let fronts = (0..domains)
        .flat_map(|domain| (0..hosts_per_domain).map(move |host| process(domain, host, "")));
    let directories = (0..domains).map(|domain| process(domain, 0, "-directory"));
    fronts.chain(directories).collect()
}
