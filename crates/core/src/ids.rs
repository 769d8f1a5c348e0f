//! Identifiers shared between modules.

string_ids! {
    /// An instance: a node, an upstream or a store.
    InstanceId;
    /// A customer: the tenant that owns a token, context and a share of capacity.
    CustomerId;
    /// A service that requests are routed to.
    ServiceName;
    /// An availability zone.
    ZoneName;
    /// A region, which has one or more availability zones.
    RegionName;
    /// An operator's change; the client chooses it, so that a resent change is recognised.
    ChangeId;
    /// One attempt of one request at one upstream.
    AttemptId;
    /// A version of an upstream's software, not of its weights.
    SoftwareVersion;
}

number_ids! {
    /// A version of a service's model weights.
    WeightVersion;
    /// The number that an order to an upstream carries; a higher one supersedes a lower one.
    FencingNumber;
    /// The log index of the last configuration change.
    ConfigVersion;
}
