//! The published client library `amqprs` against the AMQP ingress of a gateway with emulated workers, on real
//! sockets.
use amqprs::channel::{
    BasicAckArguments, BasicConsumeArguments, BasicPublishArguments, ConfirmSelectArguments,
    ExchangeDeclareArguments, QueueBindArguments, QueueDeclareArguments, QueueDeleteArguments,
};
use amqprs::connection::{Connection, OpenConnectionArguments};
use amqprs::consumer::AsyncConsumer;
use amqprs::{BasicProperties, Deliver};
use argon2::password_hash::{PasswordHasher, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tidewall_amqp_ingress::Amqp;
use tidewall_emulator::{Fleet, NoGateways, Plan};
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig};
use tidewall_net::mio::{self, Mio};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::timeout;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Starts a gateway with its AMQP ingress, and two emulated workers; they run until the test process ends.
/// Returns the address of the ingress.
fn start_gateway() -> SocketAddr {
    let fast_argon2 = Argon2::new(
        Algorithm::Argon2id,
        Version::V0x13,
        Params::new(8, 1, 1, None).unwrap(),
    );
    let salt = SaltString::encode_b64(b"0123456789abcdef").unwrap();
    let hash = fast_argon2
        .hash_password(b"secret", &salt)
        .unwrap()
        .to_string();
    let (amqp_address, discovery_address) = (free_address(), free_address());
    let text = format!(
        r#"gateway {{ name: "g" address: "{}" amqp_address: "{amqp_address}" zone: "z" }}
        roster {{ address: "{discovery_address}" }}
        zone: "z"
        kind {{ name: "k" }}
        event_type {{ name: "check" redelivery: REDELIVERABLE }}
        loading {{ window_ms: 0 }}
        amqp {{ user {{ name: "terminal" password_hash: "{hash}" }} heartbeat_s: 1 }}
        fleet {{
          workers {{ name: "w" count: 2 zone: "z" kind: "k" }}
          programs {{ name: "p" event_type: "check" fetch_ms: 50 start_ms: 10 memory_mb: 10 }}
        }}"#,
        free_address()
    );
    std::thread::spawn(move || {
        let parsed = tidewall_config::settings("test", &text).unwrap();
        let plan = Plan {
            seed: 1,
            seconds: 0.0,
            clients: false,
            amqp: false,
            record: Box::new(std::io::sink()),
            gateways: Box::new(NoGateways),
            checks_epochs: true,
            forgets_votes: false,
            checks_task_epochs: true,
            wild_clocks: false,
        };
        let mut fleet = Fleet::new(Mio::new().unwrap(), &parsed, None, plan).unwrap();
        std::thread::spawn(move || {
            let parsed = tidewall_config::settings("test", &text).unwrap();
            let gateway_limits = GatewayLimits {
                max_requests: 1000,
                connect_timeout: 2_500,
                streams_per_connection: 32,
                connections_per_worker: 4,
                max_worker_connections: usize::MAX,
                spread_threshold: usize::MAX,
                keep_alive: 300_000,
                health_check_timeout: 5_000,
                load_request_timeout: 80_000,
                silence_timeout: 10_000,
            };
            let gateway_config = GatewayConfig {
                name: "g".to_string(),
                index: 0,
                seed: 7,
                settings: tidewall_config::scheduler_settings(&parsed, 0),
                discovery: discovery_address,
                discovery_retry: 1_000,
                peers: vec![None],
                peer_listen: None,
                limits: gateway_limits,
                failover: None,
            };
            let mut gateway = Gateway::new(
                Mio::new().unwrap(),
                gateway_config,
                Box::new(NoEndpointCache),
            )
            .unwrap();
            gateway
                .add_ingress(amqp_address, Box::new(Amqp::new(0, &parsed)))
                .unwrap();
            mio::run(&mut gateway).unwrap();
        });
        mio::run(&mut fleet).unwrap();
    });
    for _ in 0..200 {
        if std::net::TcpStream::connect(amqp_address).is_ok() {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    amqp_address
}

async fn connect(at: SocketAddr, password: &str) -> Result<Connection, amqprs::error::Error> {
    Connection::open(&OpenConnectionArguments::new(
        "127.0.0.1",
        at.port(),
        "terminal",
        password,
    ))
    .await
}

/// Sends each delivery to a channel: tag, correlation-id, type, body.
struct DeliveryForwarder(UnboundedSender<(u64, String, String, String)>);

#[async_trait::async_trait]
impl AsyncConsumer for DeliveryForwarder {
    async fn consume(
        &mut self,
        _: &amqprs::channel::Channel,
        d: Deliver,
        p: BasicProperties,
        body: Vec<u8>,
    ) {
        let text = |t: Option<&String>| t.cloned().unwrap_or_default();
        let delivery = (
            d.delivery_tag(),
            text(p.correlation_id()),
            text(p.message_type()),
            String::from_utf8_lossy(&body).into(),
        );
        let _ = self.0.send(delivery);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_published_client_declares_publishes_consumes_and_closes() {
    let amqp_address = start_gateway();
    assert!(
        connect(amqp_address, "wrong").await.is_err(),
        "a wrong password is refused"
    );
    let connection = connect(amqp_address, "secret").await.unwrap();
    let channel = connection.open_channel(None).await.unwrap();
    channel
        .confirm_select(ConfirmSelectArguments::default())
        .await
        .unwrap();

    // Plain queues: declare, bind to a topic exchange, publish, consume, ack.
    channel
        .exchange_declare(ExchangeDeclareArguments::new("t", "topic"))
        .await
        .unwrap();
    let (queue, _, _) = channel
        .queue_declare(QueueDeclareArguments::new("q"))
        .await
        .unwrap()
        .unwrap();
    channel
        .queue_bind(QueueBindArguments::new(&queue, "t", "stock.#"))
        .await
        .unwrap();
    let (delivery_sender, mut deliveries) = unbounded_channel();
    channel
        .basic_consume(
            DeliveryForwarder(delivery_sender),
            BasicConsumeArguments::new("q", "c"),
        )
        .await
        .unwrap();
    for i in 0..3 {
        let to = BasicPublishArguments::new("t", "stock.hall.1");
        channel
            .basic_publish(BasicProperties::default(), format!("m{i}").into_bytes(), to)
            .await
            .unwrap();
    }
    for i in 0..3 {
        let (tag, _, _, body) = timeout(RECEIVE_TIMEOUT, deliveries.recv())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(body, format!("m{i}"));
        channel
            .basic_ack(BasicAckArguments::new(tag, false))
            .await
            .unwrap();
    }

    // Triggers with answers to a queue of this test. The first may be deferred until the gateway knows its
    // workers.
    channel
        .queue_declare(QueueDeclareArguments::new("answers"))
        .await
        .unwrap();
    let (delivery_sender, mut deliveries) = unbounded_channel();
    channel
        .basic_consume(
            DeliveryForwarder(delivery_sender),
            BasicConsumeArguments::new("answers", "a")
                .auto_ack(true)
                .finish(),
        )
        .await
        .unwrap();
    let mut handled = 0;
    for i in 0..30 {
        let mut p = BasicProperties::default();
        p.with_correlation_id(&i.to_string())
            .with_reply_to("answers")
            .with_message_id(&format!("id{i}"));
        p.with_expiration("1000");
        let to = BasicPublishArguments::new("tidewall.events", "check.p0");
        // The emulated workers read the execution time from the body: 50 tenths of a millisecond, thus 5 ms.
        channel
            .basic_publish(p, 50u32.to_be_bytes().to_vec(), to)
            .await
            .unwrap();
        let (_, correlation, word, _) = timeout(RECEIVE_TIMEOUT, deliveries.recv())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(correlation, i.to_string());
        handled += usize::from(word == "handled");
        if handled == 10 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(handled, 10);

    // Heartbeats keep an idle connection open: wait for three heartbeat intervals.
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    assert!(connection.is_open());
    channel
        .queue_delete(QueueDeleteArguments::new("q"))
        .await
        .unwrap();
    channel.close().await.unwrap();
    connection.close().await.unwrap();
}
